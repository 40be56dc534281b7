/**
 * @file
 * The state machine of the replicated log: every control host that has applied the same entries has the same state.
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

/** Applies the log's commands in order. Thread-safe; lock rank Configuration. */
class ReplicatedState
{
public:
    /** @p parser parses the operators' files; @p onWithdrawn is called for each target that gets no new requests. */
    ReplicatedState(configuration::FileParser parser, std::function<void(const targets::Target &)> onWithdrawn);

    /** Applies one encoded command and returns its encoded answer. */
    std::string apply(const std::string &payload);

    /** Returns the active configuration. */
    std::shared_ptr<const changes::ActiveConfiguration> activeConfiguration() const;

    /** Returns @p target, marked as leaving if its incarnation was withdrawn. */
    targets::Target applyWithdrawal(const targets::Target &target) const;

    /** Returns the whole state, encoded. */
    std::string snapshot() const;

    /** Replaces the state by one that snapshot() returned. Error: SnapshotDamaged. */
    core::Status restore(const std::string &bytes);

private:
    changes::Answer withdraw(const targets::Target &target);
    /** Makes the ledger's active configuration visible to readers, if it has changed. */
    void publish();

    const configuration::FileParser m_parser;
    const std::function<void(const targets::Target &)> m_onWithdrawn;
    mutable core::RankedMutex m_mutex{core::LockRank::Configuration};
    changes::Ledger m_ledger;
    targets::Withdrawals m_withdrawals;
    std::shared_ptr<const changes::ActiveConfiguration> m_activeConfiguration;
};

} // namespace pimentoshed::control
