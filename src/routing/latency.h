/**
 * @file
 * Estimate of the current latency, and the thresholds above which an attempt or a target counts as late.
 */
#pragma once

#include "core/time.h"

#include <cstddef>

namespace pimentoshed::routing
{

/**
 * Moving mean and mean deviation of the latency of answered attempts. A sample counts as at most twice the late
 * threshold, so that a single straggler hardly moves the estimate, while a change of the whole service shows within
 * some dozen responses.
 */
class LatencyEstimate
{
public:
    void addSample(core::Duration latency);

    bool known() const
    {
        return m_known;
    }
    core::Duration mean() const;

    /** An attempt older than this is late. Duration::max() without samples. */
    core::Duration lateThreshold() const;

    /**
     * A target with @p inFlight attempts that has completed none of them for longer than this is stalled.
     * Duration::max() without samples or attempts.
     */
    core::Duration stallThreshold(std::size_t inFlight) const;

private:
    bool m_known = false;
    double m_mean = 0;
    double m_deviation = 0;
};

} // namespace pimentoshed::routing
