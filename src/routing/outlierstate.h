/**
 * @file
 * Outlier state of one target, and the schedule of its probation requests.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::routing
{

/**
 * A late or failed attempt makes a target an outlier. From then on it gets one probation request at a time, after a
 * pause that doubles with each failed probation request, until one succeeds. Not thread-safe.
 */
class OutlierState
{
public:
    bool isOutlier() const
    {
        return m_isOutlier;
    }

    bool isProbationDue(core::TimePoint now) const
    {
        return m_isOutlier && !m_isProbationRunning && now >= m_nextProbation;
    }

    /** Makes the target an outlier, if it isn't one. @p pause is the time until the first probation request. */
    void markOutlier(core::TimePoint now, core::Duration pause);

    void startProbation()
    {
        m_isProbationRunning = true;
    }

    /** A probation request succeeded: the target is no outlier any more. */
    void passProbation();

    /** A probation request failed or was late. */
    void failProbation(core::TimePoint now);

    /** A probation request ended without a result, for example because it was cancelled. */
    void cancelProbation()
    {
        m_isProbationRunning = false;
    }

private:
    bool m_isOutlier = false;
    bool m_isProbationRunning = false;
    core::Duration m_pause{};
    core::TimePoint m_nextProbation{};
};

} // namespace pimentoshed::routing
