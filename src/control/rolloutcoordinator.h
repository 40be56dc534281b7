/**
 * @file
 * Accepts orders of rollouts, and conducts those in progress while this control host is the leader.
 */
#pragma once

#include "changes/ledger.h"
#include "control/orderage.h"
#include "core/rankedmutex.h"
#include "rollouts/conductor.h"
#include "rollouts/counttable.h"
#include "rpc/commandcodec.h"
#include "targets/target.h"
#include "telemetry/registry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::control
{

/**
 * Entry hosts report their counts to the control host that they follow. A leader decides from them; the others relay
 * them to it. Thread-safe; lock rank Connections.
 */
class RolloutCoordinator
{
public:
    struct Dependencies {
        std::function<std::shared_ptr<const changes::ActiveConfiguration>()> activeConfiguration;
        /** Whether this host is the leader. */
        std::function<bool()> isLeader;
        /** Confirms with a quorum; the callback gets whether the active configuration, if read from then on, is
         * current. */
        std::function<void(std::function<void(bool)>)> confirmCurrent;
        std::function<void(const rpc::Command &, std::function<void(changes::Answer)>)> submit;
        std::function<std::vector<targets::Target>()> targets;
        /** Sends counts to the leader; they may be lost. */
        std::function<void(const std::vector<rollouts::HostCounts> &)> relay;
        core::ClockHook now;
    };

    explicit RolloutCoordinator(Dependencies dependencies);

    /**
     * Starts a rollout. An order that is sent again gets its first answer while it runs and for some seconds after its
     * end. Errors: those of the ledger, NoQuorum. ChangeSuperseded: another order for the service came first.
     * OrderStale: the order, of age @p age, may have been given up before its rollout could be started.
     */
    void start(const changes::StartRollout &change,
               const OrderAge &age,
               const std::function<void(changes::Answer)> &done);

    /** Records counts of entry hosts. Those that another control host has relayed are not relayed again. */
    void record(const std::vector<rollouts::HostCounts> &counts, bool isRelayed);

    /** Follows the rollouts, and decides or relays counts. To be called periodically. */
    void tick(core::TimePoint now);

    /** Sets the metrics of the rollouts. */
    void updateGauges(telemetry::Registry &metrics) const;

private:
    struct Decision {
        core::ServiceName service;
        std::string softwareVersion;
        rollouts::Move move;
        rollouts::Room room;
        /** The counts that it is based on, for the log. */
        std::string counts;
    };
    struct SubmittedMove {
        rollouts::Move move;
        core::TimePoint at{};
    };

    /** The newest rollout of the service, if @p order asks for the same and is likely to be a repetition of it. */
    std::optional<rollouts::Rollout> findRepeated(const changes::ActiveConfiguration &active,
                                                  const rollouts::Order &order);
    /** Requires m_mutex. */
    void followRollouts(const changes::ActiveConfiguration &active, core::TimePoint now);
    /** Returns the moves that are due. Requires m_mutex. */
    std::vector<Decision> decide(const changes::ActiveConfiguration &active,
                                 const std::vector<targets::Target> &targets,
                                 core::TimePoint now);
    void submit(const Decision &decision) const;

    const Dependencies m_dependencies;
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::map<core::ServiceName, rollouts::Conductor> m_conductors;
    std::map<core::ServiceName, SubmittedMove> m_submitted;
    core::TimePoint m_nextDecision{};
    rollouts::CountTable m_counts;
    /** Counts to relay to the leader. */
    std::vector<rollouts::HostCounts> m_pending;
};

} // namespace pimentoshed::control
