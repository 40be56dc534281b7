#include "routing/ejections.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

/** At most one in this many serving targets may be ejected at once. */
constexpr std::size_t EjectedShareDivisor = 2;
/** At most one assignment in this many is made for a probation request. */
constexpr unsigned AssignmentsPerProbation = 4;
/** Time from a failed attempt to the first probation request. */
constexpr core::Duration ProbationDelayAfterFailure = std::chrono::milliseconds(50);

} // namespace

void Ejections::recount(std::span<TargetState> targets)
{
    m_servingCount = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [](const auto &target) {
        return target.isServing();
    }));
    m_outlierCount = 0;
    m_ejectedCount = 0;
    for (auto &target : targets) {
        target.setEjected(false);
        if (target.outlierState().isOutlier()) {
            ++m_outlierCount;
            ejectIfPossible(target);
        }
    }
}

void Ejections::detectLate(TargetState &target, core::TimePoint now, const ServiceContext &context)
{
    const auto &latency = context.times.latency();
    if (!context.hooks.ejectsOutliers || target.outlierState().isOutlier() || target.inFlight() == 0 || !latency.known()
        || target.oldestAttempt().silenceLimit) {
        // An attempt that may wait at a full target tells nothing about the target's speed.
        return;
    }
    const auto &oldest = target.oldestAttempt();
    const bool late = now - oldest.start > scaleBySlowness(latency.lateThreshold(), oldest.slowness);
    const bool stalled = now - std::max(oldest.start, target.lastEnd())
                         > scaleBySlowness(latency.stallThreshold(target.inFlight()), oldest.slowness);
    if (late || stalled) {
        markOutlier(target, now, latency.mean());
    }
}

void Ejections::recordEnd(TargetState &target,
                          const InFlightAttempt &attempt,
                          const AttemptEnd &end,
                          core::Duration lateThreshold,
                          core::TimePoint now,
                          const ServiceContext &context)
{
    if (!context.hooks.ejectsOutliers) {
        return;
    }
    const bool isAnswered = end.outcome == AttemptOutcome::Answered;
    const bool isGood = isAnswered && end.latency <= scaleBySlowness(lateThreshold, attempt.slowness);
    if (isGood && attempt.isProbation) {
        clear(target);
    } else if (!isGood && attempt.isProbation) {
        target.failProbation(now, context.service.warmUp);
    } else if (!isGood && !target.outlierState().isOutlier()) {
        markOutlier(target, now, isAnswered ? context.times.latency().mean() : ProbationDelayAfterFailure);
    }
}

bool Ejections::isProbationTurn() const
{
    return m_assignmentsSinceProbation >= AssignmentsPerProbation;
}

std::optional<std::size_t> Ejections::findDue(std::span<const TargetState> targets,
                                              core::TimePoint now,
                                              const core::RandomSource &random,
                                              const std::function<bool(const TargetState &)> &isAssignable) const
{
    if (targets.empty()) {
        return std::nullopt;
    }
    const auto first = core::randomBelow(random, targets.size());
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const auto position = (first + step) % targets.size();
        const auto &target = targets[position];
        if (target.outlierState().isProbationDue(now) && target.isReachable(now) && isAssignable(target)) {
            return position;
        }
    }
    return std::nullopt;
}

void Ejections::markOutlier(TargetState &target, core::TimePoint now, core::Duration pause)
{
    target.outlierState().markOutlier(now, pause);
    ++m_outlierCount;
    ejectIfPossible(target);
}

void Ejections::ejectIfPossible(TargetState &target)
{
    if (target.isServing() && !target.isEjected() && m_ejectedCount < m_servingCount / EjectedShareDivisor) {
        target.setEjected(true);
        ++m_ejectedCount;
    }
}

void Ejections::clear(TargetState &target)
{
    m_outlierCount -= target.outlierState().isOutlier() ? 1 : 0;
    m_ejectedCount -= target.isEjected() ? 1 : 0;
    target.passProbation();
}

} // namespace pimentoshed::routing
