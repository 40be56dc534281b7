#include "routing/fulltargetrule.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

/** How long a service counts as one whose full targets hang after one silent attempt, which may have other causes. */
constexpr core::Duration EvidenceLifetime = std::chrono::seconds(10);
/** The same after silent attempts at different targets: some times the length of a usual burst of load. */
constexpr core::Duration BehaviourLifetime = std::chrono::seconds(60);
/** Weight of a new report in a moving mean, which depends on about the last forty reports. */
constexpr double ReportWeight = 0.05;
/** Targets with room get more requests than the mean target, because hosts look for them. */
constexpr double RoomFactor = 2;
/** Requests of simultaneous senders for each request that reports show as waiting, which are those not yet begun. */
constexpr double SendersPerWaiting = 10;

} // namespace

void FullTargetRule::recordSilence(const core::TargetId &id, core::TimePoint now)
{
    const bool isConfirmed = now < m_hangsUntil && m_silentTarget != id;
    m_hangsUntil = std::max(m_hangsUntil, now + (isConfirmed ? BehaviourLifetime : EvidenceLifetime));
    m_silentTarget = id;
}

void FullTargetRule::recordReport(const LoadReport &report, unsigned ownInFlight)
{
    const double load = report.running + report.waiting;
    m_hasReports = true;
    m_queuePlaces = std::max(m_queuePlaces, report.waiting);
    m_loadByOthers += (std::max(0.0, load - ownInFlight) - m_loadByOthers) * ReportWeight;
    m_waiting += (report.waiting - m_waiting) * ReportWeight;
}

FullBehaviour FullTargetRule::behaviour(core::TimePoint now) const
{
    return now < m_hangsUntil ? FullBehaviour::Hangs : FullBehaviour::Answers;
}

double FullTargetRule::arrivalsWithin(core::Duration age, core::Duration latency) const
{
    return latency <= core::Duration{} ? 0
                                       : RoomFactor * m_loadByOthers * core::toSeconds(age) / core::toSeconds(latency);
}

double FullTargetRule::sendProbability(double room) const
{
    return std::clamp(room / (1 + SendersPerWaiting * m_waiting), 0.0, 1.0);
}

} // namespace pimentoshed::routing
