/**
 * @file
 * The state that the replicated log builds: what every control host holds alike.
 */
#pragma once

#include "changes/ledger.h"
#include "core/rankedmutex.h"
#include "targets/withdrawals.h"

#include <functional>
#include <memory>
#include <string>

namespace pimentoshed::control
{

/** Applies the log's commands in order. Thread-safe; rank Configuration. */
class ReplicatedState
{
public:
    /** @p parser reads the operators' files; @p withdrawn hears of each target that gets no new work any more. */
    ReplicatedState(configuration::FileParser parser, std::function<void(const targets::Target &)> withdrawn);

    /** Applies one command; its encoded answer. */
    std::string apply(const std::string &payload);

    std::shared_ptr<const changes::ActiveConfiguration> activeConfiguration() const;

    /** @p target as it may be known: leaving, where its incarnation was withdrawn. */
    targets::Target asWithdrawn(const targets::Target &target) const;

    /** The whole state as bytes. */
    std::string snapshot() const;

    /** Replaces the state by what snapshot() yielded. Error: SnapshotDamaged. */
    core::Status restore(const std::string &bytes);

private:
    changes::Answer withdraw(const targets::Target &target);
    void publish();

    const configuration::FileParser m_parser;
    const std::function<void(const targets::Target &)> m_withdrawn;
    mutable core::RankedMutex m_mutex{core::LockRank::Configuration};
    changes::Ledger m_ledger;
    targets::Withdrawals m_withdrawals;
    std::shared_ptr<const changes::ActiveConfiguration> m_standing;
};

} // namespace pimentoshed::control
