#include "entry/quotaclient.h"

#include "core/log.h"
#include "rpc/quotacodec.h"

#include <chrono>
#include <utility>

namespace pimentoshed::entry
{

namespace
{

/** Period of the checks while requests wait or leases are unused: a fifth of the shortest wait of a request. */
constexpr auto TickPeriod = std::chrono::milliseconds(20);

} // namespace

QuotaClient::QuotaClient(const core::HostId &host,
                         std::uint64_t incarnation,
                         core::TimerService &timers,
                         std::shared_ptr<ControlFeedClient> feedClient)
    : m_timers(timers)
    , m_feedClient(std::move(feedClient))
    , m_holder({host,
                incarnation,
                [&timers]() {
                    return timers.now();
                },
                [this](const quotas::LeaseCall &leaseCall) {
                    call(leaseCall);
                },
                [](const core::WorkspaceName &workspace, core::Duration retryAfter) {
                    core::log(core::LogLevel::Warning,
                              "workspace-over-quota",
                              {{"workspace", workspace.str()}, {"retry_after_s", core::toSeconds(retryAfter)}});
                }})
{
}

void QuotaClient::spend(const configuration::Workspace &workspace,
                        core::TimePoint latest,
                        const std::function<void(const quotas::Decision &)> &callback)
{
    m_holder.spend(workspace, latest, callback);
    tickLater();
}

void QuotaClient::giveBack(const configuration::Workspace &workspace, const quotas::Token &token)
{
    m_holder.giveBack(workspace, token);
    tickLater();
}

void QuotaClient::setHosts(const std::vector<membership::EntryHost> &hosts)
{
    std::vector<core::HostId> ids;
    ids.reserve(hosts.size());
    for (const auto &host : hosts) {
        ids.push_back(host.id);
    }
    m_holder.setHosts(std::move(ids));
}

void QuotaClient::updateMetrics(telemetry::Registry &metrics) const
{
    const auto raise = [&metrics](const core::WorkspaceName &workspace, quotas::Verdict verdict, std::uint64_t total) {
        metrics.raiseTo(
            telemetry::Metric::QuotaDecisions,
            {{"workspace", workspace.str()}, {"verdict", std::string(core::nameOf(quotas::VerdictNames, verdict))}},
            static_cast<double>(total));
    };
    for (const auto &counts : m_holder.counts()) {
        raise(counts.workspace, quotas::Verdict::Admitted, counts.admitted);
        raise(counts.workspace, quotas::Verdict::OverQuota, counts.overQuota);
        raise(counts.workspace, quotas::Verdict::Unknown, counts.unknown);
    }
}

void QuotaClient::stop()
{
    const core::Lock lock(m_mutex);
    m_isStopped = true;
    m_timer.cancel();
}

void QuotaClient::call(const quotas::LeaseCall &call)
{
    m_feedClient->lease(rpc::encode(call),
                        quotas::LeaseHolder::CallTimeout,
                        [self = shared_from_this(), number = call.number](const core::Result<rpc::LeaseReply> &reply) {
                            self->m_holder.receive(
                                number,
                                core::ok(reply) ? core::Result<quotas::LeaseAnswer>(rpc::decode(core::value(reply)))
                                                : core::error(reply));
                            self->tickLater();
                        });
}

void QuotaClient::tickLater()
{
    const bool isNeeded = m_holder.needsTick();
    const core::Lock lock(m_mutex);
    if (!isNeeded || m_isTimerRunning || m_isStopped) {
        return;
    }
    m_isTimerRunning = true;
    m_timer = m_timers.after(TickPeriod, [self = weak_from_this()]() {
        const auto alive = self.lock();
        if (!alive) {
            return;
        }
        alive->m_holder.tick();
        {
            const core::Lock timerLock(alive->m_mutex);
            alive->m_isTimerRunning = false;
        }
        alive->tickLater();
    });
}

} // namespace pimentoshed::entry
