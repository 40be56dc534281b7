/**
 * @file
 * What latency is usual at present, and from when on an attempt counts as late.
 */
#pragma once

#include "core/time.h"

#include <cstddef>

namespace pimentoshed::routing
{

/**
 * Moving mean and mean deviation of answered attempts. A sample counts for at most twice the late threshold: one
 * straggler hardly moves it, a change of the whole service does within some dozen answers.
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

    /** An attempt older than this is late. The longest duration where nothing is known yet. */
    core::Duration lateThreshold() const;

    /** A target with @p inFlight attempts that ends none of them for longer than this is late as a whole. */
    core::Duration stallThreshold(std::size_t inFlight) const;

private:
    bool m_known = false;
    double m_mean = 0;
    double m_deviation = 0;
};

} // namespace pimentoshed::routing
