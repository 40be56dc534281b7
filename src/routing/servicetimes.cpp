#include "routing/servicetimes.h"

namespace pimentoshed::routing
{

namespace
{

/** Weight of a new sample in a moving mean, which depends on about the last forty samples. */
constexpr double SampleWeight = 0.05;
/** Assumed processing time as a fraction of the objective, which allows for two to three times the usual time. */
constexpr double AssumedShareOfObjective = 0.4;

} // namespace

core::Duration scaleBySlowness(core::Duration bound, double slowness)
{
    constexpr auto Longest = std::chrono::hours(1);
    return slowness <= 1 || bound > Longest
               ? bound
               : core::Duration(static_cast<std::int64_t>(static_cast<double>(bound.count()) * slowness));
}

void ServiceTimes::assumeObjective(core::Duration objective)
{
    m_processingTime.assume(
        core::Duration(static_cast<std::int64_t>(static_cast<double>(objective.count()) * AssumedShareOfObjective)));
}

void ServiceTimes::addAnswered(const Answered &answered)
{
    m_latency.addSample(answered.latency);
    if (answered.hadFreeSlot) {
        m_processingTime.addSample(answered.latency, answered.slowness);
    }
    (answered.isLocal ? m_localLatency : m_remoteLatency).addSample(answered.latency);
}

void ServiceTimes::addSlowness(double slowness)
{
    m_usualSlowness += (slowness - m_usualSlowness) * SampleWeight;
}

core::Duration ServiceTimes::meanLatency(bool isLocal) const
{
    const auto &latency = isLocal ? m_localLatency : m_remoteLatency;
    return latency.known() ? latency.mean() : m_latency.mean();
}

} // namespace pimentoshed::routing
