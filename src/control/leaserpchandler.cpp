#include "control/leaserpchandler.h"

#include "rpc/quotacodec.h"

#include <utility>

namespace pimentoshed::control
{

namespace
{

/**
 * For how long after a round that a quorum acknowledged this host grants: half of the shortest election time-out, which
 * leaves the other half for clocks that run differently. A leader begins a round each 150 ms.
 */
constexpr core::Duration CertainTime = consensus::Timing{}.electionTimeout / 2;

} // namespace

LeaseRpcHandler::LeaseRpcHandler(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void LeaseRpcHandler::handle(const rpc::LeaseRequest &request, const rpc::Responder<rpc::LeaseReply> &respond)
{
    const auto status = m_dependencies.replicaStatus();
    if (isCertainLeader(status)) {
        respond(rpc::encode(answer(rpc::decode(request), status.term)));
        return;
    }
    const bool isElsewhere = status.leader && status.leader->host != status.self.host;
    if (isElsewhere && !request.forwarded()) {
        auto forwarded = request;
        forwarded.set_forwarded(true);
        if (m_dependencies.forward(status.leader->host, forwarded, respond)) {
            return;
        }
    }
    respond({});
}

bool LeaseRpcHandler::isCertainLeader(const consensus::ReplicaStatus &status) const
{
    return status.role == consensus::Role::Leader && status.isTermCommitted
           && m_dependencies.now() - CertainTime < status.quorumContact;
}

quotas::LeaseAnswer LeaseRpcHandler::answer(const quotas::LeaseCall &call, consensus::Term term)
{
    const auto active = m_dependencies.activeConfiguration();
    const core::Lock lock(m_mutex);
    const auto now = m_dependencies.now();
    return prepare(term, active->configuration, now) ? quotas::LeaseAnswer(m_allocator.answer(call, now))
                                                     : std::nullopt;
}

void LeaseRpcHandler::tick()
{
    const auto status = m_dependencies.replicaStatus();
    if (!isCertainLeader(status)) {
        return;
    }
    const auto active = m_dependencies.activeConfiguration();
    const core::Lock lock(m_mutex);
    prepare(status.term, active->configuration, m_dependencies.now());
}

bool LeaseRpcHandler::prepare(consensus::Term term,
                              const std::shared_ptr<const configuration::Configuration> &configuration,
                              core::TimePoint now)
{
    if (!configuration || term < m_term) {
        return false;
    }
    if (m_term != term) {
        m_term = term;
        m_allocator.restart(now);
    }
    if (m_configuration != configuration) {
        m_configuration = configuration;
        m_allocator.configure(configuration->workspaces, now);
    }
    return true;
}

void LeaseRpcHandler::updateMetrics(telemetry::Registry &metrics)
{
    const core::Lock lock(m_mutex);
    for (const auto &use : m_allocator.uses(m_dependencies.now())) {
        const telemetry::Labels labels{{"workspace", use.workspace.str()}};
        metrics.set(telemetry::Metric::QuotaLeased, labels, use.leased);
        metrics.raiseTo(telemetry::Metric::QuotaGranted, labels, static_cast<double>(use.granted));
        metrics.raiseTo(telemetry::Metric::QuotaReturned, labels, static_cast<double>(use.returned));
        metrics.raiseTo(telemetry::Metric::QuotaRefused, labels, static_cast<double>(use.refused));
    }
}

} // namespace pimentoshed::control
