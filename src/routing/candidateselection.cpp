#include "routing/candidateselection.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::routing
{

namespace
{

/** Maximum number of targets passed to the picker. */
constexpr std::size_t MaxCandidates = 64;
/** A target is idle up to this slowness and below this fraction of used slots: nearly full targets are often slower. */
constexpr double MaxIdleSlowness = 1.25;
constexpr double MaxIdleUsage = 0.5;
/** Up to this age a report counts as current: a fraction of the time within which speeds change. */
constexpr core::Duration CurrentReportAge = std::chrono::milliseconds(25);
/** A request stays queued while its probability to end in time is lower than this at every target. */
constexpr double MinOnTimeProbability = 0.3;
/** The same while only local targets are considered: the request still has time for a better target. */
constexpr double MinLocalOnTimeProbability = 0.5;
/** Spread of a request's actual time as a fraction of its expected time; processing times vary by a third. */
constexpr double TimeSpread = 0.25;
/** Factor on the probability of a target that reports itself as unhealthy: it may be wrong, but others come first. */
constexpr double UnhealthyFactor = 0.2;

/** Probability that a request with @p expected time ends within @p objective. If zero, a value that falls with time. */
double estimateOnTimeProbability(core::Duration expected, core::Duration objective)
{
    if (objective == core::Duration{}) {
        return 1 / (1 + core::toSeconds(expected));
    }
    const double share = core::toSeconds(expected) / core::toSeconds(objective);
    return 1 / (1 + std::exp((share - 1) / TimeSpread));
}

/** Whether the target is of usual speed with most slots free, so that looking for another gains little. */
bool isIdle(const TargetState &target, core::TimePoint now, const ServiceContext &context)
{
    return target.slowness(now, context.times) <= MaxIdleSlowness
           && target.estimatedLoad(now) < MaxIdleUsage * target.slots(context.service);
}

/** The requests that the target is expected to have: by its report if that is recent, else as targets usually have. */
double expectedLoad(const TargetState &target, core::TimePoint now, const ServiceContext &context)
{
    const auto byReport = target.report(now) == nullptr ? std::nullopt : target.highestLoad(now, context);
    return byReport.value_or(target.inFlight() + context.full.usualLoadByOthers());
}

/** Whether the target may get a request that only uses what is to spare. */
bool isSpare(const TargetState &target, core::TimePoint now, const ServiceContext &context)
{
    return !target.isCold(now) && !target.hasRequestLimit() && !target.outlierState().isOutlier()
           && isIdle(target, now, context);
}

bool hasReachableLocal(std::span<const TargetState> targets, const AssignOptions &options, core::TimePoint now)
{
    return std::any_of(targets.begin(), targets.end(), [&](const TargetState &target) {
        return target.isLocal() && target.isServing() && !target.isEjected() && target.isReachable(now)
               && matches(options.softwareVersion, target.target()->softwareVersion);
    });
}

} // namespace

Candidate makeCandidate(const TargetState &target,
                        unsigned maxInFlight,
                        const AssignOptions &options,
                        core::TimePoint now,
                        const ServiceContext &context)
{
    Candidate found;
    found.inFlight = target.inFlight();
    found.limit = maxInFlight;
    found.reportedLoad = target.reportedLoad();
    found.isLocal = target.isLocal();
    found.meanLatency = context.times.meanLatency(target.isLocal());
    found.predictedTime = target.predictedTime(now, context);
    found.onTimeProbability = estimateOnTimeProbability(found.predictedTime, options.objective);
    if (const auto *report = target.report(now); report != nullptr && !report->healthy) {
        found.onTimeProbability *= UnhealthyFactor;
    }
    if (context.full.behaviour(now) == FullBehaviour::Hangs) {
        const double places = target.slots(context.service) + context.full.queuePlaces();
        found.sendProbability = context.full.sendProbability(places - expectedLoad(target, now, context));
    }
    return found;
}

bool isAssignable(const TargetState &target,
                  const Candidate &candidate,
                  const AssignOptions &options,
                  core::TimePoint now,
                  const ServiceContext &context)
{
    if (!context.times.processingTime().known()) {
        return true;
    }
    // An old report excludes no target that can be probed again. Targets named by the caller have just been probed.
    const bool isCurrent =
        target.report(now, options.allowedTargets.empty() ? CurrentReportAge : ReportLifetime) != nullptr;
    const double minProbability = options.localOnly ? MinLocalOnTimeProbability : MinOnTimeProbability;
    const bool isInTime =
        options.objective == core::Duration{} || !isCurrent || candidate.onTimeProbability >= minProbability;
    return isInTime && target.estimatedLoad(now) < target.slots(context.service)
           && (!options.idleOnly || isIdle(target, now, context));
}

bool isKnownToHaveRoom(const TargetState &target,
                       const AssignOptions &options,
                       core::TimePoint now,
                       const ServiceContext &context)
{
    if (target.isAssumedFull(now)) {
        return false;
    }
    // A host that doesn't probe gets reports only with responses, so it sends also without a recent one.
    if (context.full.behaviour(now) != FullBehaviour::Hangs || !options.probationNeedsReport) {
        return true;
    }
    const double slots = target.slots(context.service);
    const double load = expectedLoad(target, now, context);
    if (const auto *report = target.report(now)) {
        return report->waiting == 0 && load < slots;
    }
    // Without a recent report, half of the places are left to what can't be known.
    return load < (slots + context.full.queuePlaces()) / 2;
}

CandidateSelection::CandidateSelection()
{
    m_candidates.reserve(MaxCandidates);
    m_positions.reserve(MaxCandidates);
}

void CandidateSelection::collect(std::span<TargetState> targets,
                                 Ejections &ejections,
                                 SelectionPurpose purpose,
                                 const AssignOptions &options,
                                 core::TimePoint now,
                                 const ServiceContext &context)
{
    m_candidates.clear();
    m_positions.clear();
    if (targets.empty()) {
        return;
    }
    const bool localOnly = options.localOnly && hasReachableLocal(targets, options, now);
    const bool isProbed = !options.allowedTargets.empty();
    const auto first = targets.size() > MaxCandidates ? core::randomBelow(context.hooks.random, targets.size()) : 0;
    for (const bool wantsOutliers : {false, true}) {
        for (std::size_t step = 0; step < targets.size() && m_candidates.size() < MaxCandidates; ++step) {
            const auto position = first + step < targets.size() ? first + step : first + step - targets.size();
            auto &target = targets[position];
            ejections.detectLate(target, now, context);
            const bool isUsable =
                target.isServing() && !target.isEjected() && target.outlierState().isOutlier() == wantsOutliers;
            const unsigned maxInFlight = isUsable ? target.limit(now, context) : 0;
            if (target.inFlight() >= maxInFlight || !target.isReachable(now) || !isAllowed(options, *target.target())
                || (localOnly && !target.isLocal()) || (!isProbed && !target.isProbeAllowed(now))
                || (options.spareOnly && !isSpare(target, now, context))) {
                continue;
            }
            if (purpose == SelectionPurpose::Request && !isKnownToHaveRoom(target, options, now, context)) {
                continue;
            }
            const auto found = makeCandidate(target, maxInFlight, options, now, context);
            if (isAssignable(target, found, options, now, context)) {
                m_candidates.push_back(found);
                m_positions.push_back(position);
            }
        }
        if (!m_candidates.empty() || ejections.outlierCount() == 0) {
            return;
        }
    }
}

std::optional<CandidateSelection::Choice> CandidateSelection::take(const RouterHooks &hooks)
{
    const auto choice = m_candidates.empty() ? std::nullopt : hooks.picker(m_candidates, hooks.random);
    if (!choice) {
        return std::nullopt;
    }
    const Choice taken{m_positions[*choice], m_candidates[*choice].sendProbability};
    m_candidates.erase(m_candidates.begin() + static_cast<std::ptrdiff_t>(*choice));
    m_positions.erase(m_positions.begin() + static_cast<std::ptrdiff_t>(*choice));
    return taken;
}

} // namespace pimentoshed::routing
