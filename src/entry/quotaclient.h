/**
 * @file
 * Connects an entry host's leases of workspaces' requests with its control hosts, timers and metrics.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "entry/controlfeedclient.h"
#include "quotas/leaseholder.h"
#include "telemetry/registry.h"

#include <memory>

namespace pimentoshed::entry
{

/** Drives a quotas::LeaseHolder. Without limited workspaces it makes no call and runs no timer. Thread-safe. */
class QuotaClient : public std::enable_shared_from_this<QuotaClient>
{
public:
    /** Calls are numbered from @p incarnation, which is later for each process of @p host. */
    QuotaClient(const core::HostId &host,
                std::uint64_t incarnation,
                core::TimerService &timers,
                std::shared_ptr<ControlFeedClient> feedClient);

    /** See quotas::SpendHook. */
    void spend(const configuration::Workspace &workspace,
               core::TimePoint latest,
               const std::function<void(const quotas::Decision &)> &callback);

    /** See quotas::GiveBackHook. */
    void giveBack(const configuration::Workspace &workspace, const quotas::Token &token);

    /** Sets the entry hosts, which share the reserve. */
    void setHosts(const std::vector<membership::EntryHost> &hosts);

    /** Sets the metrics of the workspaces' quotas. */
    void updateMetrics(telemetry::Registry &metrics) const;

    void stop();

private:
    void call(const quotas::LeaseCall &call);
    /** Calls the holder's tick() later, unless that is due already or not necessary. */
    void tickLater();

    core::TimerService &m_timers;
    const std::shared_ptr<ControlFeedClient> m_feedClient;
    quotas::LeaseHolder m_holder;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    bool m_isTimerRunning = false;
    bool m_isStopped = false;
    core::TimerSubscription m_timer;
};

} // namespace pimentoshed::entry
