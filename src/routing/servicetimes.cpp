#include "routing/servicetimes.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

/** Weight of a new sample in a moving mean, which depends on about the last forty samples. */
constexpr double SampleWeight = 0.05;
/** Assumed processing time as a fraction of the objective, which allows for two to three times the usual time. */
constexpr double AssumedShareOfObjective = 0.4;
/** The quantile of the latency that silence is measured by, and the multiple of it: few answers take longer. */
constexpr double SlowQuantile = 0.95;
constexpr double QuantilesUntilSilent = 2;
/** Answers after which the quantile is known: the first ones may all be quick. */
constexpr unsigned MinAnswered = 20;
/** Step of the estimate of the quantile, as a fraction of it. */
constexpr double QuantileStep = 0.05;

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
    // Moves up by a step for each longer sample and down by a smaller one for each shorter sample, so that they balance
    // at the quantile (stochastic approximation; Robbins and Monro, 1951).
    const auto sample = static_cast<double>(answered.latency.count());
    if (++m_answeredCount <= MinAnswered) {
        m_slowQuantile = std::max(m_slowQuantile, sample);
    } else {
        const double step = QuantileStep * m_slowQuantile;
        m_slowQuantile += sample > m_slowQuantile ? step * SlowQuantile : -step * (1 - SlowQuantile);
    }
    if (answered.hadFreeSlot) {
        m_processingTime.addSample(answered.latency, answered.slowness);
    }
    (answered.isLocal ? m_localLatency : m_remoteLatency).addSample(answered.latency);
}

void ServiceTimes::addSlowness(double slowness)
{
    m_usualSlowness += (slowness - m_usualSlowness) * SampleWeight;
}

std::optional<core::Duration> ServiceTimes::silenceLimit() const
{
    if (m_answeredCount < MinAnswered) {
        return std::nullopt;
    }
    return core::Duration(static_cast<std::int64_t>(QuantilesUntilSilent * m_slowQuantile));
}

core::Duration ServiceTimes::meanLatency(bool isLocal) const
{
    const auto &latency = isLocal ? m_localLatency : m_remoteLatency;
    return latency.known() ? latency.mean() : m_latency.mean();
}

} // namespace pimentoshed::routing
