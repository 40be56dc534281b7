#include "requests/responsetimes.h"

#include <cstdint>

namespace pimentoshed::requests
{

namespace
{

/** A response is late if it takes longer than this share of the others. */
constexpr double UsualShare = 0.95;
/** A window lasts at least this long: a few times the 150 ms within which the load of shared machines changes. */
constexpr core::Duration WindowLength = std::chrono::seconds(2);
/** Samples of a window: above the quantile are then a few of them. */
constexpr std::size_t WindowSamples = 60;
/** After this time an estimate is forgotten, and a window with too few samples begins again. */
constexpr core::Duration EstimateLifetime = std::chrono::seconds(30);

} // namespace

ResponseTimes::Quantile ResponseTimes::makeQuantile()
{
    return Quantile(boost::accumulators::quantile_probability = UsualShare);
}

void ResponseTimes::record(core::Duration duration, core::TimePoint now)
{
    const auto count = boost::accumulators::count(m_current);
    if (count == 0 || now - m_currentStart > EstimateLifetime) {
        m_current = makeQuantile();
        m_currentStart = now;
    }
    m_current(static_cast<double>(duration.count()));
    if (now - m_currentStart >= WindowLength && boost::accumulators::count(m_current) >= WindowSamples) {
        m_usualMaximum = core::Duration(static_cast<std::int64_t>(boost::accumulators::p_square_quantile(m_current)));
        m_estimated = now;
        m_isKnown = true;
        m_current = makeQuantile();
    }
}

std::optional<core::Duration> ResponseTimes::usualMaximum(core::TimePoint now) const
{
    return m_isKnown && now - m_estimated <= EstimateLifetime ? std::optional(m_usualMaximum) : std::nullopt;
}

} // namespace pimentoshed::requests
