#include "routing/processingtimeestimate.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

/** Smallest step towards a new sample, as a fraction of the estimate. */
constexpr double MinStep = 0.05;
/** Number of samples that an assumed value counts as: the first requests may all be unusual. */
constexpr double AssumedSampleCount = 2;

} // namespace

void ProcessingTimeEstimate::assume(core::Duration processingTime)
{
    if (m_sampleCount > AssumedSampleCount || processingTime <= core::Duration{}) {
        return;
    }
    m_nanoseconds = static_cast<double>(processingTime.count());
    m_sampleCount = AssumedSampleCount;
}

void ProcessingTimeEstimate::addSample(core::Duration latency, double slowness)
{
    ++m_sampleCount;
    const double processingTime = static_cast<double>(latency.count()) / std::max(slowness, 1.0);
    if (!known()) {
        m_nanoseconds = processingTime;
        return;
    }
    const double step = std::max(MinStep, 1 / m_sampleCount);
    m_nanoseconds = std::clamp(processingTime, m_nanoseconds * (1 - step), m_nanoseconds * (1 + step));
}

bool ProcessingTimeEstimate::known() const
{
    return m_nanoseconds > 0;
}

double ProcessingTimeEstimate::nanoseconds() const
{
    return m_nanoseconds;
}

} // namespace pimentoshed::routing
