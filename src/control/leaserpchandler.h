/**
 * @file
 * Answers the lease calls of entry hosts, at the leader of the control hosts.
 */
#pragma once

#include "changes/ledger.h"
#include "consensus/replica.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "quotas/allocator.h"
#include "rpc/controlserver.h"
#include "telemetry/registry.h"

#include <functional>
#include <memory>

namespace pimentoshed::control
{

/**
 * Passes calls on to the leader. The leader answers from its quotas::Allocator, as long as a quorum has confirmed it so
 * recently that there can be no other one. Thread-safe; lock rank Quotas.
 */
class LeaseRpcHandler
{
public:
    struct Dependencies {
        std::function<consensus::ReplicaStatus()> replicaStatus;
        std::function<std::shared_ptr<const changes::ActiveConfiguration>()> activeConfiguration;
        /** Passes a call on to another control host. Returns false if its address is unknown. */
        std::function<bool(const core::HostId &, const rpc::LeaseRequest &, const rpc::Responder<rpc::LeaseReply> &)>
            forward;
        core::ClockHook now;
    };

    explicit LeaseRpcHandler(Dependencies dependencies);

    void handle(const rpc::LeaseRequest &request, const rpc::Responder<rpc::LeaseReply> &respond);

    /** Starts the allocator when this host has become the leader. To be called periodically. */
    void tick();

    /** Sets the metrics of the workspaces' quotas. */
    void updateMetrics(telemetry::Registry &metrics);

private:
    bool isCertainLeader(const consensus::ReplicaStatus &status) const;
    quotas::LeaseAnswer answer(const quotas::LeaseCall &call, consensus::Term term);
    /**
     * Makes the allocator ready for @p term. Returns false if there is no configuration, or a later term. The mutex is
     * locked.
     */
    bool prepare(consensus::Term term,
                 const std::shared_ptr<const configuration::Configuration> &configuration,
                 core::TimePoint now);

    const Dependencies m_dependencies;
    core::RankedMutex m_mutex{core::LockRank::Quotas};
    quotas::Allocator m_allocator;
    /** The term of this leader for which the allocator has started anew. */
    consensus::Term m_term;
    /** The configuration whose limits the allocator applies. */
    std::shared_ptr<const configuration::Configuration> m_configuration;
};

} // namespace pimentoshed::control
