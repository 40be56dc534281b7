#include "routing/latency.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::routing
{

namespace
{

constexpr double MeanSampleWeight = 1.0 / 32;
constexpr double DeviationSampleWeight = 1.0 / 16;
constexpr double DeviationsUntilLate = 4;
constexpr double MeansUntilLate = 2;
/** A target is stalled if its attempts in flight have together waited this many mean latencies and none has ended. */
constexpr double MeansUntilStalled = 8;
/** Lower bound of the thresholds: shorter delays are mostly caused by scheduling at the hosts, not by the target. */
constexpr core::Duration MinThreshold = std::chrono::milliseconds(2);

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
    m_deviation += DeviationSampleWeight * (std::abs(sample - m_mean) - m_deviation);
    m_mean += MeanSampleWeight * (sample - m_mean);
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
    return std::max(MinThreshold, core::Duration(static_cast<core::Duration::rep>(late)));
}

core::Duration LatencyEstimate::stallThreshold(std::size_t inFlight) const
{
    if (!m_known || inFlight == 0) {
        return core::Duration::max();
    }
    const double stalled =
        std::max(m_mean + m_deviation / 2, MeansUntilStalled * m_mean / static_cast<double>(inFlight));
    return std::max(MinThreshold, core::Duration(static_cast<core::Duration::rep>(stalled)));
}

} // namespace pimentoshed::routing
