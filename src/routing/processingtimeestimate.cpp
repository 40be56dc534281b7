#include "routing/processingtimeestimate.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

/** How far one sample moves the estimate at least: some forty samples decide. */
constexpr double LeastStep = 0.05;
/** Requests that weigh as much as an assumption: the first ones may all be unusual. */
constexpr double AssumptionWeight = 2;

} // namespace

void ProcessingTimeEstimate::assume(core::Duration work)
{
    if (m_samples > AssumptionWeight || work <= core::Duration{}) {
        return;
    }
    m_usual = static_cast<double>(work.count());
    m_samples = AssumptionWeight;
}

void ProcessingTimeEstimate::add(core::Duration latency, double slowness)
{
    ++m_samples;
    const double work = static_cast<double>(latency.count()) / std::max(slowness, 1.0);
    m_usual += (work - m_usual) * std::max(LeastStep, 1 / m_samples);
}

bool ProcessingTimeEstimate::known() const
{
    return m_usual > 0;
}

double ProcessingTimeEstimate::usual() const
{
    return m_usual;
}

} // namespace pimentoshed::routing
