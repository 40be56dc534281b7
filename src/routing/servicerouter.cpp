#include "routing/servicerouter.h"

#include "core/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentoshed::routing
{

namespace
{

/** At most one in this many serving targets may be ejected at once. */
constexpr std::size_t EjectedShareDivisor = 2;
/** At most one assignment in this many is made for a probation request. */
constexpr unsigned AssignmentsPerProbation = 4;
/** Maximum number of targets passed to the picker. */
constexpr std::size_t MaxCandidates = 64;
/** Failed probation requests in a row after which a target counts as cold. */
constexpr unsigned FailedProbationsUntilCold = 4;
/** Weight of a new sample in a moving mean, which depends on about the last forty samples. */
constexpr double SampleWeight = 0.05;
/** Assumed processing time as a fraction of the objective, which allows for two to three times the usual time. */
constexpr double AssumedShareOfObjective = 0.4;
/** A target is idle up to this slowness and below this fraction of used slots: nearly full targets are often slower. */
constexpr double MaxIdleSlowness = 1.25;
constexpr double MaxIdleUsage = 0.5;
/** A load report is ignored after this time: the load of shared machines changes within some 150 ms. */
constexpr core::Duration ReportLifetime = std::chrono::milliseconds(300);
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
/** Shortest back-off from an unreachable target: less than a cold start takes. */
constexpr core::Duration MinUnreachableBackoff = std::chrono::milliseconds(100);
/** Late load probes in a row after which a target counts as unreachable. */
constexpr unsigned LateProbesUntilUnreachable = 3;
constexpr core::Duration MaxUnreachableBackoff = std::chrono::seconds(1);
/** Time from a failed attempt to the first probation request. */
constexpr core::Duration ProbationDelayAfterFailure = std::chrono::milliseconds(50);

bool contains(std::span<const core::TargetId> ids, const core::TargetId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** Scales @p bound for a target that reported @p slowness in advance: slowness that was reported is no fault. */
core::Duration scaleBySlowness(core::Duration bound, double slowness)
{
    constexpr auto Longest = std::chrono::hours(1);
    return slowness <= 1 || bound > Longest
               ? bound
               : core::Duration(static_cast<std::int64_t>(static_cast<double>(bound.count()) * slowness));
}

/** Probability that a request with @p expected time ends within @p objective. If zero, a value that falls with time. */
double estimateOnTimeProbability(core::Duration expected, core::Duration objective)
{
    if (objective == core::Duration{}) {
        return 1 / (1 + core::toSeconds(expected));
    }
    const double share = core::toSeconds(expected) / core::toSeconds(objective);
    return 1 / (1 + std::exp((share - 1) / TimeSpread));
}

bool isAllowed(const AssignOptions &options, const core::TargetId &id)
{
    return !contains(options.excludedTargets, id)
           && (options.allowedTargets.empty() || contains(options.allowedTargets, id));
}

} // namespace

ServiceRouter::ServiceRouter(configuration::Service service, core::FailureDomain ownDomain, RouterHooks hooks)
    : m_service(std::move(service))
    , m_ownDomain(std::move(ownDomain))
    , m_hooks(std::move(hooks))
{
    m_candidates.reserve(MaxCandidates);
    m_candidatePositions.reserve(MaxCandidates);
}

void ServiceRouter::configure(const configuration::Service &service)
{
    m_service = service;
}

void ServiceRouter::assumeObjective(core::Duration objective)
{
    m_processingTime.assume(
        core::Duration(static_cast<std::int64_t>(static_cast<double>(objective.count()) * AssumedShareOfObjective)));
}

void ServiceRouter::update(const targets::Target &target)
{
    const auto [position, isNew] = m_positions.try_emplace(target.id, m_entries.size());
    if (isNew) {
        m_entries.emplace_back();
        m_entries.back().inFlightAttempts.reserve(m_service.slots);
    }
    auto &entry = m_entries[position->second];
    if (entry.target && (target.version < entry.target->version || *entry.target == target)) {
        return;
    }
    const bool restarted = entry.target && entry.target->version.incarnation != target.version.incarnation;
    entry.target = std::make_shared<const targets::Target>(target);
    if (restarted) {
        clearOutlier(entry);
        entry.requestLimit.reset();
        entry.isLeaving = false;
        entry.pausedUntil = {};
    }
    updateFlags(entry);
    if (target.condition == targets::Condition::Gone && entry.inFlightAttempts.empty()) {
        erase(position->second);
    }
    updateCounts();
}

void ServiceRouter::setDomainsOutOfService(std::span<const core::FailureDomain> domainsOutOfService)
{
    if (std::equal(domainsOutOfService.begin(),
                   domainsOutOfService.end(),
                   m_domainsOutOfService.begin(),
                   m_domainsOutOfService.end())) {
        return;
    }
    m_domainsOutOfService.assign(domainsOutOfService.begin(), domainsOutOfService.end());
    for (auto &entry : m_entries) {
        updateFlags(entry);
    }
    updateCounts();
}

core::Result<Assignment> ServiceRouter::assign(core::TimePoint now, std::span<const core::TargetId> excludedTargets)
{
    AssignOptions options;
    options.excludedTargets = excludedTargets;
    return assign(now, options);
}

std::vector<std::shared_ptr<const targets::Target>> ServiceRouter::shortlist(core::TimePoint now,
                                                                             const AssignOptions &options,
                                                                             std::size_t count)
{
    std::vector<std::shared_ptr<const targets::Target>> found;
    if (options.probationNeedsReport && options.allowedTargets.empty()) {
        auto anyReport = options;
        anyReport.probationNeedsReport = false;
        if (const auto position = findDueProbation(now, anyReport)) {
            m_assignmentsSinceProbation = 0;
            found.push_back(m_entries[*position].target);
            ++count;
        }
    }
    collectCandidates(now, options);
    while (found.size() < count && !m_candidates.empty()) {
        const auto choice = m_hooks.picker(m_candidates, m_hooks.random);
        if (!choice) {
            break;
        }
        found.push_back(m_entries[m_candidatePositions[*choice]].target);
        m_candidates.erase(m_candidates.begin() + static_cast<std::ptrdiff_t>(*choice));
        m_candidatePositions.erase(m_candidatePositions.begin() + static_cast<std::ptrdiff_t>(*choice));
    }
    return found;
}

void ServiceRouter::recordFailedProbe(const core::TargetId &id, bool failed, core::TimePoint now)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return;
    }
    auto &entry = m_entries[found->second];
    entry.lastProbe = now;
    // Single late responses are ignored, as this host itself may be slow.
    if (failed || ++entry.lateProbes >= LateProbesUntilUnreachable) {
        backOff(entry, now);
    }
}

/** Backs off from an unreachable target for a pause that doubles each time. A load report ends the back-off at once. */
void ServiceRouter::backOff(Entry &entry, core::TimePoint now)
{
    if (now < entry.unreachableUntil) {
        return;
    }
    entry.unreachableBackoff =
        std::clamp<core::Duration>(entry.unreachableBackoff * 2, MinUnreachableBackoff, MaxUnreachableBackoff);
    entry.unreachableUntil = now + entry.unreachableBackoff;
}

void ServiceRouter::recordSignals(const targets::Target &target,
                                  const TargetSignals &signals,
                                  core::TimePoint sent,
                                  core::TimePoint now)
{
    const auto found = m_positions.find(target.id);
    if (found == m_positions.end()) {
        return;
    }
    auto &entry = m_entries[found->second];
    entry.lastProbe = now;
    // What an earlier incarnation said does not bind the present one.
    if (target.version.incarnation == entry.target->version.incarnation) {
        setSignals(entry, signals, sent, now);
    }
}

core::Result<Assignment> ServiceRouter::assign(core::TimePoint now, const AssignOptions &options)
{
    ++m_assignmentsSinceProbation;
    if (const auto position = findDueProbation(now, options)) {
        m_assignmentsSinceProbation = 0;
        return startAttempt(m_entries[*position], now, true);
    }
    const auto position = pickTarget(now, options);
    if (!position) {
        return core::Error{core::ErrorCode::NoTarget, m_service.name.str()};
    }
    auto &entry = m_entries[*position];
    return startAttempt(entry, now, entry.outlierState.isProbationDue(now));
}

void ServiceRouter::release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now)
{
    const auto found = m_positions.find(assignment.target->id);
    if (found == m_positions.end()) {
        return;
    }
    auto &entry = m_entries[found->second];
    const auto attempt =
        std::find_if(entry.inFlightAttempts.begin(), entry.inFlightAttempts.end(), [&](const auto &each) {
            return each.attempt == assignment.attempt;
        });
    if (attempt == entry.inFlightAttempts.end()) {
        return;
    }
    const auto ended = *attempt;
    entry.inFlightAttempts.erase(attempt);
    entry.lastEnd = now;
    // The result of an attempt at an earlier incarnation of the target is no evidence about the present one.
    if (assignment.target->version.incarnation == entry.target->version.incarnation) {
        recordResult(entry, ended, end, now);
    }
    if (entry.target->condition == targets::Condition::Gone && entry.inFlightAttempts.empty()) {
        erase(found->second);
        updateCounts();
    }
}

void ServiceRouter::updateRequestPaces()
{
    for (auto &entry : m_entries) {
        if (entry.requestLimit) {
            updateRequestPace(entry);
        }
    }
}

void ServiceRouter::updateRequestPace(Entry &entry) const
{
    entry.pace = m_hooks.requestPace ? m_hooks.requestPace(*entry.target, *entry.requestLimit)
                                     : membership::requestPace(entry.target->id, *entry.requestLimit, {}, {});
}

core::TimePoint ServiceRouter::nextAllowed(const Entry &entry)
{
    const auto turn =
        entry.requestLimit ? entry.nextTurn - (entry.pace.burst - 1) * entry.pace.interval : core::TimePoint{};
    return std::max(entry.pausedUntil, turn);
}

std::optional<core::TimePoint> ServiceRouter::pausedUntil(core::TimePoint now) const
{
    std::optional<core::TimePoint> earliest;
    for (const auto &entry : m_entries) {
        if (entry.isServing && (!earliest || nextAllowed(entry) < *earliest)) {
            earliest = nextAllowed(entry);
        }
    }
    return earliest && *earliest > now ? earliest : std::nullopt;
}

bool ServiceRouter::isProbeAllowed(const Entry &entry, core::TimePoint now)
{
    return !entry.requestLimit || now - entry.lastProbe >= entry.pace.interval;
}

TargetStatus ServiceRouter::status(const core::TargetId &id) const
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return {};
    }
    const auto &entry = m_entries[found->second];
    return {static_cast<unsigned>(entry.inFlightAttempts.size()),
            entry.outlierState.isOutlier(),
            entry.isEjected,
            entry.coldUntil.has_value(),
            entry.requestLimit};
}

core::Duration ServiceRouter::usualProcessingTime() const
{
    return core::Duration(static_cast<std::int64_t>(m_processingTime.nanoseconds()));
}

const LatencyEstimate &ServiceRouter::latency() const
{
    return m_latency;
}

std::size_t ServiceRouter::inFlight() const
{
    std::size_t count = 0;
    for (const auto &entry : m_entries) {
        count += entry.inFlightAttempts.size();
    }
    return count;
}

void ServiceRouter::updateFlags(Entry &entry) const
{
    const auto &target = *entry.target;
    const bool isOutOfService = std::find(m_domainsOutOfService.begin(), m_domainsOutOfService.end(), target.domain)
                                != m_domainsOutOfService.end();
    entry.isServing = targets::takesRequests(target.condition) && !isOutOfService && !entry.isLeaving;
    entry.isLocal = target.domain == m_ownDomain;
}

void ServiceRouter::ejectIfPossible(Entry &entry)
{
    if (entry.isServing && !entry.isEjected && m_ejectedCount < m_servingCount / EjectedShareDivisor) {
        entry.isEjected = true;
        ++m_ejectedCount;
    }
}

void ServiceRouter::detectLate(Entry &entry, core::TimePoint now)
{
    if (!m_hooks.ejectsOutliers || entry.outlierState.isOutlier() || entry.inFlightAttempts.empty()
        || !m_latency.known()) {
        return;
    }
    const auto oldest = entry.inFlightAttempts.front().start;
    const auto &first = entry.inFlightAttempts.front();
    const bool late = now - oldest > scaleBySlowness(m_latency.lateThreshold(), first.slowness);
    const bool stalled = now - std::max(oldest, entry.lastEnd)
                         > scaleBySlowness(m_latency.stallThreshold(entry.inFlightAttempts.size()), first.slowness);
    if (late || stalled) {
        entry.outlierState.markOutlier(now, m_latency.mean());
        ++m_outlierCount;
        ejectIfPossible(entry);
    }
}

void ServiceRouter::recordResult(Entry &entry,
                                 const InFlightAttempt &attempt,
                                 const AttemptEnd &end,
                                 core::TimePoint now)
{
    if (end.signals) {
        setSignals(entry, *end.signals, attempt.start, now);
    }
    if (end.outcome == AttemptOutcome::Unreachable) {
        backOff(entry, now);
    }
    if (end.outcome == AttemptOutcome::Cancelled) {
        if (attempt.isProbation) {
            entry.outlierState.cancelProbation();
        }
        return;
    }
    const bool isAnswered = end.outcome == AttemptOutcome::Answered;
    const bool isGood = isAnswered && end.latency <= scaleBySlowness(m_latency.lateThreshold(), attempt.slowness);
    if (isAnswered) {
        m_latency.addSample(end.latency);
        if (attempt.hadFreeSlot) {
            m_processingTime.addSample(end.latency, attempt.slowness);
        }
        (entry.isLocal ? m_localLatency : m_remoteLatency).addSample(end.latency);
    }
    if (!m_hooks.ejectsOutliers) {
        return;
    }
    if (isGood && attempt.isProbation) {
        clearOutlier(entry);
    } else if (!isGood && attempt.isProbation) {
        recordFailedProbation(entry, now);
    } else if (!isGood && !entry.outlierState.isOutlier()) {
        entry.outlierState.markOutlier(now, isAnswered ? m_latency.mean() : ProbationDelayAfterFailure);
        ++m_outlierCount;
        ejectIfPossible(entry);
    }
}

void ServiceRouter::recordFailedProbation(Entry &entry, core::TimePoint now)
{
    entry.outlierState.failProbation(now);
    if (++entry.failedProbations >= FailedProbationsUntilCold) {
        entry.coldUntil = now + m_service.warmUp;
        entry.failedProbations = 0;
    }
}

void ServiceRouter::clearOutlier(Entry &entry)
{
    if (entry.outlierState.isOutlier()) {
        --m_outlierCount;
    }
    if (std::exchange(entry.isEjected, false)) {
        --m_ejectedCount;
    }
    entry.outlierState.passProbation();
    entry.failedProbations = 0;
    entry.coldUntil.reset();
    for (auto &attempt : entry.inFlightAttempts) {
        attempt.isProbation = false;
    }
}

unsigned ServiceRouter::limit(const Entry &entry, core::TimePoint now) const
{
    if (!entry.isServing || now < nextAllowed(entry)) {
        return 0;
    }
    if (!isCold(entry, now)) {
        return slots(entry);
    }
    if (m_hooks.canSendToCold && !m_hooks.canSendToCold(*entry.target, m_service, now)) {
        return 0;
    }
    return m_service.coldRequestsPerSecond > 0 ? slots(entry) : m_service.coldSlots;
}

bool ServiceRouter::isCold(const Entry &entry, core::TimePoint now) const
{
    const bool assumed = entry.coldUntil && now < *entry.coldUntil;
    return assumed || entry.target->condition != targets::Condition::Warm;
}

unsigned ServiceRouter::slots(const Entry &entry) const
{
    return entry.target->slots > 0 ? entry.target->slots : m_service.slots;
}

void ServiceRouter::setSignals(Entry &entry, const TargetSignals &signals, core::TimePoint sent, core::TimePoint now)
{
    entry.unreachableUntil = {};
    entry.unreachableBackoff = {};
    entry.lateProbes = 0;
    if (signals.load) {
        setLoadReport(entry, *signals.load, now);
    }
    setRequestLimit(entry, signals, sent, now);
    if (signals.pause && now + *signals.pause > entry.pausedUntil) {
        entry.pausedUntil = now + *signals.pause;
        core::log(core::LogLevel::Info,
                  "target-paused",
                  {{"target", entry.target->id.str()}, {"seconds", core::toSeconds(*signals.pause)}});
    }
    if (signals.isLeaving && !std::exchange(entry.isLeaving, true)) {
        core::log(core::LogLevel::Info, "target-leaving", {{"target", entry.target->id.str()}});
        updateFlags(entry);
        updateCounts();
    }
}

void ServiceRouter::setRequestLimit(Entry &entry,
                                    const TargetSignals &signals,
                                    core::TimePoint sent,
                                    core::TimePoint now)
{
    const auto previous = entry.requestLimit;
    if (signals.limitStatement == LimitStatement::Named) {
        entry.requestLimit = signals.requestLimit;
        entry.limitNamedAt = now;
        updateRequestPace(entry);
        // A higher limit than before holds at once.
        entry.nextTurn = previous ? std::min(entry.nextTurn, now + entry.pace.burst * entry.pace.interval) : now;
    } else if (signals.limitStatement == LimitStatement::None && sent >= entry.limitNamedAt) {
        // Responses to earlier requests may come after the one that named the limit.
        entry.requestLimit.reset();
    }
    if (entry.requestLimit != previous) {
        core::log(core::LogLevel::Info,
                  "target-limit",
                  {{"target", entry.target->id.str()},
                   {"statement", core::nameOf(LimitStatementNames, signals.limitStatement)},
                   {"per_second", entry.requestLimit.value_or(0)}});
    }
}

void ServiceRouter::setLoadReport(Entry &entry, const LoadReport &report, core::TimePoint now)
{
    entry.report = report;
    entry.reportedAt = now;
    entry.ownInFlightAtReport = entry.inFlightAttempts.size();
    m_usualSlowness += (report.slowness - m_usualSlowness) * SampleWeight;
    if (report.remainingColdTime > core::Duration{}) {
        entry.coldUntil = now + report.remainingColdTime;
    }
}

double ServiceRouter::estimatedLoad(const Entry &entry, core::TimePoint now) const
{
    const auto ownInFlight = static_cast<double>(entry.inFlightAttempts.size());
    if (!entry.report || now - entry.reportedAt > ReportLifetime) {
        return ownInFlight;
    }
    const double freshness = 1 - core::toSeconds(now - entry.reportedAt) / core::toSeconds(ReportLifetime);
    const double reported = entry.report->running + entry.report->waiting;
    return ownInFlight + freshness * std::max(0.0, reported - static_cast<double>(entry.ownInFlightAtReport));
}

double ServiceRouter::slowness(const Entry &entry, core::TimePoint now) const
{
    if (!entry.report || now - entry.reportedAt > ReportLifetime) {
        return m_usualSlowness;
    }
    const double freshness = 1 - core::toSeconds(now - entry.reportedAt) / core::toSeconds(ReportLifetime);
    return m_usualSlowness + freshness * (entry.report->slowness - m_usualSlowness);
}

core::Duration ServiceRouter::predictedTime(const Entry &entry, core::TimePoint now) const
{
    const double load = estimatedLoad(entry, now);
    const double slotCount = slots(entry);
    // The reported slowness applies to requests that start now. For those queued at the target, use the usual slowness.
    const double queued = std::max(0.0, load + 1 - slotCount) / slotCount;
    const double startSlowness = queued > 0 ? m_usualSlowness : slowness(entry, now);
    // Add a little per request at the target, so that requests spread over equal targets before any of them is full.
    constexpr double SpreadShare = 0.1;
    return core::Duration(
        static_cast<std::int64_t>(m_processingTime.nanoseconds()
                                  * (startSlowness * (1 + SpreadShare * load / slotCount) + m_usualSlowness * queued)));
}

/**
 * Whether the target is estimated to have a free slot and is likely to end the request in time. Otherwise it is better
 * to keep the request queued at this host until a fast target has a free slot than to queue it at the target.
 */
bool ServiceRouter::isAssignable(const Entry &entry,
                                 const Candidate &candidate,
                                 const AssignOptions &options,
                                 core::TimePoint now) const
{
    if (!m_processingTime.known()) {
        return true;
    }
    // An old report excludes no target that can be probed again. Targets named by the caller have just been probed.
    const auto valid = options.allowedTargets.empty() ? CurrentReportAge : ReportLifetime;
    const bool isCurrent = entry.report && now - entry.reportedAt <= valid;
    const double minProbability = options.localOnly ? MinLocalOnTimeProbability : MinOnTimeProbability;
    const bool isInTime =
        options.objective == core::Duration{} || !isCurrent || candidate.onTimeProbability >= minProbability;
    return isInTime && estimatedLoad(entry, now) < slots(entry) && (!options.idleOnly || isIdle(entry, now));
}

bool ServiceRouter::isIdle(const Entry &entry, core::TimePoint now) const
{
    return slowness(entry, now) <= MaxIdleSlowness && estimatedLoad(entry, now) < MaxIdleUsage * slots(entry);
}

Candidate ServiceRouter::makeCandidate(const Entry &entry,
                                       unsigned maxInFlight,
                                       const AssignOptions &options,
                                       core::TimePoint now) const
{
    Candidate found;
    found.inFlight = static_cast<unsigned>(entry.inFlightAttempts.size());
    found.limit = maxInFlight;
    found.reportedLoad = entry.report ? entry.report->running + entry.report->waiting : 0;
    found.isLocal = entry.isLocal;
    found.meanLatency = meanLatency(entry);
    found.predictedTime = predictedTime(entry, now);
    found.onTimeProbability = estimateOnTimeProbability(found.predictedTime, options.objective);
    if (entry.report && !entry.report->healthy && now - entry.reportedAt < ReportLifetime) {
        found.onTimeProbability *= UnhealthyFactor;
    }
    return found;
}

core::Duration ServiceRouter::meanLatency(const Entry &entry) const
{
    const auto &latency = entry.isLocal ? m_localLatency : m_remoteLatency;
    return latency.known() ? latency.mean() : m_latency.mean();
}

std::optional<std::size_t> ServiceRouter::findDueProbation(core::TimePoint now, const AssignOptions &options)
{
    // Where reports are needed, shortlist() has limited how many targets were offered.
    const bool isTurn = options.probationNeedsReport || m_assignmentsSinceProbation >= AssignmentsPerProbation;
    if (m_outlierCount == 0 || !isTurn) {
        return std::nullopt;
    }
    const auto first = core::randomBelow(m_hooks.random, m_entries.size());
    for (std::size_t step = 0; step < m_entries.size(); ++step) {
        const auto position = (first + step) % m_entries.size();
        const auto &entry = m_entries[position];
        if (entry.outlierState.isProbationDue(now) && now >= entry.unreachableUntil
            && entry.inFlightAttempts.size() < limit(entry, now) && isAllowed(options, entry.target->id)
            && isProbationAssignable(entry, options, now)) {
            return position;
        }
    }
    return std::nullopt;
}

bool ServiceRouter::isProbationAssignable(const Entry &entry, const AssignOptions &options, core::TimePoint now) const
{
    if (!options.probationNeedsReport) {
        return true;
    }
    return !options.allowedTargets.empty() && entry.report && now - entry.reportedAt <= ReportLifetime
           && isAssignable(entry, makeCandidate(entry, limit(entry, now), options, now), options, now);
}

std::optional<std::size_t> ServiceRouter::pickTarget(core::TimePoint now, const AssignOptions &options)
{
    collectCandidates(now, options);
    if (m_candidates.empty()) {
        return std::nullopt;
    }
    const auto choice = m_hooks.picker(m_candidates, m_hooks.random);
    return choice ? std::optional(m_candidatePositions[*choice]) : std::nullopt;
}

/** Collects usable targets that are not outliers; if there are none, outliers. Starts at random if they are many. */
void ServiceRouter::collectCandidates(core::TimePoint now, const AssignOptions &options)
{
    m_candidates.clear();
    m_candidatePositions.clear();
    if (m_entries.empty()) {
        return;
    }
    const bool localOnly = options.localOnly && hasReachableLocal(now);
    const bool isProbed = !options.allowedTargets.empty();
    const auto first = m_entries.size() > MaxCandidates ? core::randomBelow(m_hooks.random, m_entries.size()) : 0;
    for (const bool wantsOutliers : {false, true}) {
        for (std::size_t step = 0; step < m_entries.size() && m_candidates.size() < MaxCandidates; ++step) {
            const auto position = first + step < m_entries.size() ? first + step : first + step - m_entries.size();
            auto &entry = m_entries[position];
            detectLate(entry, now);
            const auto inFlight = static_cast<unsigned>(entry.inFlightAttempts.size());
            const bool isUsable =
                entry.isServing && !entry.isEjected && entry.outlierState.isOutlier() == wantsOutliers;
            const unsigned maxInFlight = isUsable ? limit(entry, now) : 0;
            if (inFlight >= maxInFlight || now < entry.unreachableUntil || !isAllowed(options, entry.target->id)
                || (localOnly && !entry.isLocal) || (!isProbed && !isProbeAllowed(entry, now))) {
                continue;
            }
            const auto found = makeCandidate(entry, maxInFlight, options, now);
            if (isAssignable(entry, found, options, now)) {
                m_candidates.push_back(found);
                m_candidatePositions.push_back(position);
            }
        }
        if (!m_candidates.empty() || m_outlierCount == 0) {
            return;
        }
    }
}

bool ServiceRouter::hasReachableLocal(core::TimePoint now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [now](const Entry &entry) {
        return entry.isLocal && entry.isServing && !entry.isEjected && now >= entry.unreachableUntil;
    });
}

Assignment ServiceRouter::startAttempt(Entry &entry, core::TimePoint now, bool isProbation)
{
    if (isProbation) {
        entry.outlierState.startProbation();
    }
    if (m_hooks.onColdAssigned && isCold(entry, now)) {
        m_hooks.onColdAssigned(*entry.target, m_service, now);
    }
    if (entry.requestLimit) {
        entry.nextTurn = std::max(entry.nextTurn, now) + entry.pace.interval;
    }
    const auto attempt = m_nextAttempt++;
    entry.inFlightAttempts.push_back(
        {attempt, now, isProbation, estimatedLoad(entry, now) < slots(entry), slowness(entry, now)});
    return {entry.target, attempt, entry.inFlightAttempts.back().slowness};
}

void ServiceRouter::erase(std::size_t position)
{
    m_positions.erase(m_entries[position].target->id);
    if (position + 1 != m_entries.size()) {
        m_entries[position] = std::move(m_entries.back());
        m_positions[m_entries[position].target->id] = position;
    }
    m_entries.pop_back();
}

void ServiceRouter::updateCounts()
{
    m_servingCount = static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) {
        return entry.isServing;
    }));
    m_outlierCount = 0;
    m_ejectedCount = 0;
    for (auto &entry : m_entries) {
        m_outlierCount += entry.outlierState.isOutlier() ? 1 : 0;
        entry.isEjected = false;
        if (entry.outlierState.isOutlier()) {
            ejectIfPossible(entry);
        }
    }
}

} // namespace pimentoshed::routing
