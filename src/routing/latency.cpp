#include "routing/latency.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::routing
{

namespace
{

constexpr double MeanGain = 1.0 / 32;
constexpr double DeviationGain = 1.0 / 16;
constexpr double DeviationsUntilLate = 4;
constexpr double MeansUntilLate = 2;
/** Mean latencies, summed over the attempts in flight, without one end among them. */
constexpr double MeansUntilSilent = 8;
/** Below this, scheduling at the hosts matters more than the target. */
constexpr core::Duration LateFloor = std::chrono::milliseconds(2);

} // namespace

void LatencyEstimate::addSample(core::Duration latency)
{
    auto sample = static_cast<double>(latency.count());
    if (!m_known) {
        m_known = true;
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    sample = std::min(sample, 2 * static_cast<double>(lateThreshold().count()));
    m_deviation += DeviationGain * (std::abs(sample - m_mean) - m_deviation);
    m_mean += MeanGain * (sample - m_mean);
}

core::Duration LatencyEstimate::mean() const
{
    return core::Duration(static_cast<core::Duration::rep>(m_mean));
}

core::Duration LatencyEstimate::lateThreshold() const
{
    if (!m_known) {
        return core::Duration::max();
    }
    const double late = std::max(MeansUntilLate * m_mean, m_mean + DeviationsUntilLate * m_deviation);
    return std::max(LateFloor, core::Duration(static_cast<core::Duration::rep>(late)));
}

core::Duration LatencyEstimate::stallThreshold(std::size_t inFlight) const
{
    if (!m_known || inFlight == 0) {
        return core::Duration::max();
    }
    const double silent = std::max(m_mean + m_deviation / 2, MeansUntilSilent * m_mean / static_cast<double>(inFlight));
    return std::max(LateFloor, core::Duration(static_cast<core::Duration::rep>(silent)));
}

} // namespace pimentoshed::routing
