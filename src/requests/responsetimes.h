/**
 * @file
 * How late the responses of a route usually come.
 */
#pragma once

#include "core/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <optional>

namespace pimentoshed::requests
{

/**
 * Estimates a high quantile of response times that follows the load: it is that of the last complete window of time,
 * by the P-square algorithm (Jain and Chlamtac, Communications of the ACM 28(10), 1985) of Boost.Accumulators, which
 * keeps five markers and no samples. Not thread-safe.
 */
class ResponseTimes
{
public:
    /** Records a response time, or the time after which an attempt that was later than usual was given up. */
    void record(core::Duration duration, core::TimePoint now);

    /** The time within which 95% of the responses come; nothing while too few came lately. */
    std::optional<core::Duration> usualMaximum(core::TimePoint now) const;

private:
    using Quantile = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    static Quantile makeQuantile();

    Quantile m_current = makeQuantile();
    core::TimePoint m_currentStart{};
    core::Duration m_usualMaximum{};
    core::TimePoint m_estimated{};
    bool m_isKnown = false;
};

} // namespace pimentoshed::requests
