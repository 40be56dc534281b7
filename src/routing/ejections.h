/**
 * @file
 * Which targets of a service are outliers, and which of those get probation requests only.
 */
#pragma once

#include "core/random.h"
#include "routing/attemptend.h"
#include "routing/targetstate.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace pimentoshed::routing
{

/**
 * A late or failing target becomes an outlier. At most half of the serving targets are ejected at once: further
 * outliers stay in use, but only when no other target has a free slot. Not thread-safe.
 */
class Ejections
{
public:
    /** Counts again after a change of targets, and ends ejections that now exceed the maximum. */
    void recount(std::span<TargetState> targets);

    /** Marks the target as an outlier if its oldest attempt is late or none of its attempts ends. */
    void detectLate(TargetState &target, core::TimePoint now, const ServiceContext &context);

    /**
     * Draws the conclusions from the end of an attempt, which was not cancelled. It was late if it took longer than
     * @p lateThreshold at a target of usual speed.
     */
    void recordEnd(TargetState &target,
                   const InFlightAttempt &attempt,
                   const AttemptEnd &end,
                   core::Duration lateThreshold,
                   core::TimePoint now,
                   const ServiceContext &context);

    std::size_t outlierCount() const
    {
        return m_outlierCount;
    }

    void countAssignment()
    {
        ++m_assignmentsSinceProbation;
    }
    /** Counts a probation request, or an offer of one. */
    void countProbation()
    {
        m_assignmentsSinceProbation = 0;
    }
    /** Whether enough other requests were assigned since the last probation request. */
    bool isProbationTurn() const;

    /**
     * Returns the position of a target whose probation request is due and that @p isAssignable, from a start at random.
     */
    std::optional<std::size_t> findDue(std::span<const TargetState> targets,
                                       core::TimePoint now,
                                       const core::RandomSource &random,
                                       const std::function<bool(const TargetState &)> &isAssignable) const;

private:
    void markOutlier(TargetState &target, core::TimePoint now, core::Duration pause);
    void ejectIfPossible(TargetState &target);
    void clear(TargetState &target);

    std::size_t m_servingCount = 0;
    std::size_t m_outlierCount = 0;
    std::size_t m_ejectedCount = 0;
    unsigned m_assignmentsSinceProbation = 0;
};

} // namespace pimentoshed::routing
