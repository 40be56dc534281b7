/**
 * @file
 * The state that the replicated log builds: what every control host holds alike.
 */
#pragma once

#include "changes/ledger.h"
#include "core/rankedmutex.h"

#include <memory>
#include <string>

namespace pimentoshed::control
{

/** Applies the log's commands in order. Thread-safe; rank Configuration. */
class ReplicatedState
{
public:
    ReplicatedState();

    /** Applies one command; its encoded answer. */
    std::string apply(const std::string &payload);

    std::shared_ptr<const changes::Standing> standing() const;

private:
    void publish();

    mutable core::RankedMutex m_mutex{core::LockRank::Configuration};
    changes::Ledger m_ledger;
    std::shared_ptr<const changes::Standing> m_standing;
};

} // namespace pimentoshed::control
