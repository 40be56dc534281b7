#include "routing/targetstate.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::routing
{

namespace
{

/** Failed probation requests in a row after which a target counts as cold. */
constexpr unsigned FailedProbationsUntilCold = 4;
/** Shortest back-off from an unreachable target: less than a cold start takes. */
constexpr core::Duration MinUnreachableBackoff = std::chrono::milliseconds(100);
constexpr core::Duration MaxUnreachableBackoff = std::chrono::seconds(1);
/** Late load probes in a row after which a target counts as unreachable. */
constexpr unsigned LateProbesUntilUnreachable = 3;

} // namespace

TargetState::TargetState(std::size_t expectedAttempts)
{
    m_attempts.reserve(expectedAttempts);
}

bool TargetState::announce(const targets::Target &target)
{
    if (m_target && (target.version < m_target->version || *m_target == target)) {
        return false;
    }
    const bool restarted = m_target && m_target->version.incarnation != target.version.incarnation;
    m_target = std::make_shared<const targets::Target>(target);
    if (restarted) {
        passProbation();
        m_requestLimit.reset();
        m_isLeaving = false;
        m_pausedUntil = {};
        m_assumedFullUntil.reset();
        m_silentAttempts = 0;
    }
    return true;
}

void TargetState::updateDomains(std::span<const core::FailureDomain> domainsOutOfService,
                                const core::FailureDomain &ownDomain)
{
    const bool isOutOfService = std::find(domainsOutOfService.begin(), domainsOutOfService.end(), m_target->domain)
                                != domainsOutOfService.end();
    m_isInService = targets::takesRequests(m_target->condition) && !isOutOfService;
    m_isLocal = m_target->domain == ownDomain;
}

Assignment TargetState::startAttempt(std::uint64_t attempt,
                                     core::TimePoint now,
                                     bool isProbation,
                                     const ServiceContext &context)
{
    if (isProbation) {
        m_outlierState.startProbation();
    }
    if (context.hooks.onColdAssigned && isCold(now)) {
        context.hooks.onColdAssigned(*m_target, context.service, now);
    }
    if (m_requestLimit) {
        m_nextTurn = std::max(m_nextTurn, now) + m_pace.interval;
    }
    const bool hadFreeSlot = estimatedLoad(now) < slots(context.service);
    m_attempts.push_back(
        {attempt, now, isProbation, hadFreeSlot, slowness(now, context.times), silenceLimit(now, context)});
    return {m_target, attempt, m_attempts.back().slowness, m_attempts.back().silenceLimit};
}

std::optional<core::Duration> TargetState::silenceLimit(core::TimePoint now, const ServiceContext &context) const
{
    const auto usual = context.times.silenceLimit();
    const auto load = highestLoad(now, context);
    const bool mayBeFull = !load || *load >= slots(context.service) + context.full.queuePlaces();
    if (!usual || !context.full.hasReports() || (!mayBeFull && context.full.behaviour(now) != FullBehaviour::Hangs)) {
        return std::nullopt;
    }
    return scaleBySlowness(*usual, slowness(now, context.times));
}

std::optional<InFlightAttempt> TargetState::endAttempt(std::uint64_t attempt, core::TimePoint now)
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [attempt](const auto &each) {
        return each.attempt == attempt;
    });
    if (found == m_attempts.end()) {
        return std::nullopt;
    }
    const auto ended = *found;
    m_attempts.erase(found);
    m_lastEnd = now;
    return ended;
}

bool TargetState::recordSignals(const TargetSignals &signals,
                                core::TimePoint sent,
                                core::TimePoint now,
                                const RouterHooks &hooks)
{
    m_unreachableUntil = {};
    m_unreachableBackoff = {};
    m_lateProbes = 0;
    if (signals.load) {
        setLoadReport(*signals.load, now);
    }
    setRequestLimit(signals, sent, now, hooks);
    if (signals.pause && now + *signals.pause > m_pausedUntil) {
        m_pausedUntil = now + *signals.pause;
        core::log(core::LogLevel::Info,
                  "target-paused",
                  {{"target", m_target->id.str()}, {"seconds", core::toSeconds(*signals.pause)}});
    }
    const bool beganToLeave = signals.isLeaving && !std::exchange(m_isLeaving, true);
    if (beganToLeave) {
        core::log(core::LogLevel::Info, "target-leaving", {{"target", m_target->id.str()}});
    }
    return beganToLeave;
}

void TargetState::setLoadReport(const LoadReport &report, core::TimePoint now)
{
    m_report = report;
    m_reportedAt = now;
    m_inFlightAtReport = m_attempts.size();
    if (report.waiting == 0 && (report.slots == 0 || report.running < report.slots)) {
        m_assumedFullUntil.reset();
    }
    if (report.remainingColdTime > core::Duration{}) {
        m_coldUntil = now + report.remainingColdTime;
    }
}

void TargetState::setRequestLimit(const TargetSignals &signals,
                                  core::TimePoint sent,
                                  core::TimePoint now,
                                  const RouterHooks &hooks)
{
    const auto previous = m_requestLimit;
    if (signals.limitStatement == LimitStatement::Named) {
        m_requestLimit = signals.requestLimit;
        m_limitNamedAt = now;
        updateRequestPace(hooks);
        // A higher limit than before holds at once.
        m_nextTurn = previous ? std::min(m_nextTurn, now + m_pace.burst * m_pace.interval) : now;
    } else if (signals.limitStatement == LimitStatement::None && sent >= m_limitNamedAt) {
        // Responses to earlier requests may come after the one that named the limit.
        m_requestLimit.reset();
    }
    if (m_requestLimit != previous) {
        core::log(core::LogLevel::Info,
                  "target-limit",
                  {{"target", m_target->id.str()},
                   {"statement", core::nameOf(LimitStatementNames, signals.limitStatement)},
                   {"per_second", m_requestLimit.value_or(0)}});
    }
}

void TargetState::recordFailedProbe(bool failed, core::TimePoint now)
{
    m_lastProbe = now;
    // Single late responses are ignored, as this host itself may be slow.
    if (failed || ++m_lateProbes >= LateProbesUntilUnreachable) {
        backOff(now);
    }
}

void TargetState::backOff(core::TimePoint now)
{
    if (now < m_unreachableUntil) {
        return;
    }
    m_unreachableBackoff =
        std::clamp<core::Duration>(m_unreachableBackoff * 2, MinUnreachableBackoff, MaxUnreachableBackoff);
    m_unreachableUntil = now + m_unreachableBackoff;
}

unsigned TargetState::limit(core::TimePoint now, const ServiceContext &context) const
{
    if (!isServing() || now < nextAllowed()) {
        return 0;
    }
    if (!isCold(now)) {
        return slots(context.service);
    }
    if (context.hooks.canSendToCold && !context.hooks.canSendToCold(*m_target, context.service, now)) {
        return 0;
    }
    return context.service.coldRequestsPerSecond > 0 ? slots(context.service) : context.service.coldSlots;
}

unsigned TargetState::slots(const configuration::Service &service) const
{
    return m_target->slots > 0 ? m_target->slots : service.slots;
}

bool TargetState::isCold(core::TimePoint now) const
{
    const bool assumed = m_coldUntil && now < *m_coldUntil;
    return assumed || m_target->condition != targets::Condition::Warm;
}

core::TimePoint TargetState::nextAllowed() const
{
    const auto turn = m_requestLimit ? m_nextTurn - (m_pace.burst - 1) * m_pace.interval : core::TimePoint{};
    return std::max(m_pausedUntil, turn);
}

bool TargetState::isProbeAllowed(core::TimePoint now) const
{
    return !m_requestLimit || now - m_lastProbe >= m_pace.interval;
}

void TargetState::updateRequestPace(const RouterHooks &hooks)
{
    if (m_requestLimit) {
        m_pace = hooks.requestPace ? hooks.requestPace(*m_target, *m_requestLimit)
                                   : membership::requestPace(m_target->id, *m_requestLimit, {}, {});
    }
}

const LoadReport *TargetState::report(core::TimePoint now, core::Duration maxAge) const
{
    return m_report && now - m_reportedAt <= maxAge ? &*m_report : nullptr;
}

unsigned TargetState::reportedLoad() const
{
    return m_report ? m_report->running + m_report->waiting : 0;
}

double TargetState::reportWeight(core::TimePoint now) const
{
    return 1 - core::toSeconds(now - m_reportedAt) / core::toSeconds(ReportLifetime);
}

double TargetState::estimatedLoad(core::TimePoint now) const
{
    const auto ownInFlight = static_cast<double>(m_attempts.size());
    const auto *latest = report(now);
    if (latest == nullptr) {
        return ownInFlight;
    }
    const double reported = latest->running + latest->waiting;
    return ownInFlight + reportWeight(now) * std::max(0.0, reported - static_cast<double>(m_inFlightAtReport));
}

std::optional<double> TargetState::highestLoad(core::TimePoint now, const ServiceContext &context) const
{
    if (!m_report) {
        return std::nullopt;
    }
    const double byOthers =
        std::max(0.0, static_cast<double>(reportedLoad()) - static_cast<double>(m_inFlightAtReport));
    return inFlight() + byOthers + context.full.arrivalsWithin(now - m_reportedAt, context.times.latency().mean());
}

bool TargetState::recordSilence(const InFlightAttempt &attempt, core::TimePoint now, core::Duration lifetime)
{
    /** Silent attempts in a row after which a target that reports free slots counts as failing. */
    constexpr unsigned SilentAttemptsUntilFailing = 3;
    m_assumedFullUntil = now + lifetime;
    ++m_silentAttempts;
    core::log(core::LogLevel::Info,
              "target-silent",
              {{"target", m_target->id.str()},
               {"seconds", core::toSeconds(now - attempt.start)},
               {"in_row", m_silentAttempts}});
    return m_silentAttempts < SilentAttemptsUntilFailing;
}

bool TargetState::isAssumedFull(core::TimePoint now) const
{
    return m_assumedFullUntil && now < *m_assumedFullUntil;
}

double TargetState::slowness(core::TimePoint now, const ServiceTimes &times) const
{
    const auto *latest = report(now);
    if (latest == nullptr) {
        return times.usualSlowness();
    }
    return times.usualSlowness() + reportWeight(now) * (latest->slowness - times.usualSlowness());
}

core::Duration TargetState::predictedTime(core::TimePoint now, const ServiceContext &context) const
{
    const double load = estimatedLoad(now);
    const double slotCount = slots(context.service);
    const double usualSlowness = context.times.usualSlowness();
    // The reported slowness applies to requests that start now. For those queued at the target, use the usual slowness.
    const double queued = std::max(0.0, load + 1 - slotCount) / slotCount;
    const double startSlowness = queued > 0 ? usualSlowness : slowness(now, context.times);
    // Add a little per request at the target, so that requests spread over equal targets before any of them is full.
    constexpr double SpreadShare = 0.1;
    return core::Duration(
        static_cast<std::int64_t>(context.times.processingTime().nanoseconds()
                                  * (startSlowness * (1 + SpreadShare * load / slotCount) + usualSlowness * queued)));
}

void TargetState::failProbation(core::TimePoint now, core::Duration warmUp)
{
    m_outlierState.failProbation(now);
    if (++m_failedProbations >= FailedProbationsUntilCold) {
        m_coldUntil = now + warmUp;
        m_failedProbations = 0;
    }
}

void TargetState::passProbation()
{
    m_isEjected = false;
    m_outlierState.passProbation();
    m_failedProbations = 0;
    m_coldUntil.reset();
    for (auto &attempt : m_attempts) {
        attempt.isProbation = false;
    }
}

TargetStatus TargetState::status() const
{
    return {inFlight(),
            m_outlierState.isOutlier(),
            m_isEjected,
            m_coldUntil.has_value(),
            m_requestLimit,
            m_assumedFullUntil.has_value()};
}

} // namespace pimentoshed::routing
