#include "routing/servicerouter.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::routing
{

ServiceRouter::ServiceRouter(configuration::Service service, core::FailureDomain ownDomain, RouterHooks hooks)
    : m_service(std::move(service))
    , m_ownDomain(std::move(ownDomain))
    , m_hooks(std::move(hooks))
{
}

void ServiceRouter::configure(const configuration::Service &service)
{
    m_service = service;
}

void ServiceRouter::assumeObjective(core::Duration objective)
{
    m_times.assumeObjective(objective);
}

void ServiceRouter::update(const targets::Target &target)
{
    const auto [position, isNew] = m_positions.try_emplace(target.id, m_targets.size());
    if (isNew) {
        m_targets.emplace_back(m_service.slots);
    }
    auto &state = m_targets[position->second];
    if (!state.announce(target)) {
        return;
    }
    state.updateDomains(m_domainsOutOfService, m_ownDomain);
    if (target.condition == targets::Condition::Gone && state.inFlight() == 0) {
        erase(target.id);
    }
    m_ejections.recount(m_targets);
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
    for (auto &target : m_targets) {
        target.updateDomains(m_domainsOutOfService, m_ownDomain);
    }
    m_ejections.recount(m_targets);
}

core::Result<Assignment> ServiceRouter::assign(core::TimePoint now, std::span<const core::TargetId> excludedTargets)
{
    AssignOptions options;
    options.excludedTargets = excludedTargets;
    return assign(now, options);
}

core::Result<Assignment> ServiceRouter::assign(core::TimePoint now, const AssignOptions &options)
{
    m_ejections.countAssignment();
    if (const auto position = findDueProbation(now, options)) {
        m_ejections.countProbation();
        return m_targets[*position].startAttempt(m_nextAttempt++, now, true, context());
    }
    m_selection.collect(m_targets, m_ejections, SelectionPurpose::Request, options, now, context());
    while (const auto choice = m_selection.take(m_hooks)) {
        // Hosts that found the same free slot at the same time must not all send there.
        if (choice->sendProbability >= 1 || core::randomFraction(m_hooks.random) < choice->sendProbability) {
            auto &target = m_targets[choice->position];
            return target.startAttempt(m_nextAttempt++, now, target.outlierState().isProbationDue(now), context());
        }
    }
    return core::Error{core::ErrorCode::NoTarget, m_service.name.str()};
}

std::vector<std::shared_ptr<const targets::Target>> ServiceRouter::shortlist(core::TimePoint now,
                                                                             const AssignOptions &options,
                                                                             std::size_t count)
{
    std::vector<std::shared_ptr<const targets::Target>> found;
    if (options.probationNeedsReport && options.allowedTargets.empty() && !options.spareOnly) {
        auto anyReport = options;
        anyReport.probationNeedsReport = false;
        if (const auto position = findDueProbation(now, anyReport)) {
            m_ejections.countProbation();
            found.push_back(m_targets[*position].target());
            ++count;
        }
    }
    // Targets named by the caller have been probed, so it asks whether one of them can take a request.
    const auto purpose = options.allowedTargets.empty() ? SelectionPurpose::Probe : SelectionPurpose::Request;
    m_selection.collect(m_targets, m_ejections, purpose, options, now, context());
    while (found.size() < count) {
        const auto choice = m_selection.take(m_hooks);
        if (!choice) {
            break;
        }
        found.push_back(m_targets[choice->position].target());
    }
    return found;
}

std::optional<ChosenVersion> ServiceRouter::chooseVersion() const
{
    const auto division = m_hooks.versionShare ? m_hooks.versionShare(m_service.name) : std::nullopt;
    if (!division) {
        return std::nullopt;
    }
    const bool hasVersion = std::any_of(m_targets.begin(), m_targets.end(), [&division](const TargetState &target) {
        return target.isServing() && target.target()->softwareVersion == division->softwareVersion;
    });
    if (!hasVersion) {
        return division->share < 1 ? std::optional(ChosenVersion{division->softwareVersion, false}) : std::nullopt;
    }
    return ChosenVersion{division->softwareVersion, core::randomFraction(m_hooks.random) < division->share};
}

void ServiceRouter::recordFailedProbe(const core::TargetId &id, bool failed, core::TimePoint now)
{
    if (auto *target = find(id)) {
        target->recordFailedProbe(failed, now);
    }
}

void ServiceRouter::recordSignals(const targets::Target &target,
                                  const TargetSignals &signals,
                                  core::TimePoint sent,
                                  core::TimePoint now)
{
    auto *state = find(target.id);
    if (state == nullptr) {
        return;
    }
    state->recordProbe(now);
    // What an earlier incarnation said does not bind the present one.
    if (target.version.incarnation == state->target()->version.incarnation) {
        recordSignals(*state, signals, sent, now);
    }
}

void ServiceRouter::recordSignals(TargetState &target,
                                  const TargetSignals &signals,
                                  core::TimePoint sent,
                                  core::TimePoint now)
{
    if (signals.load) {
        m_times.addSlowness(signals.load->slowness);
        m_full.recordReport(*signals.load, target.inFlight());
    }
    if (target.recordSignals(signals, sent, now, m_hooks)) {
        m_ejections.recount(m_targets);
    }
}

void ServiceRouter::release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now)
{
    auto *target = find(assignment.target->id);
    const auto ended = target == nullptr ? std::nullopt : target->endAttempt(assignment.attempt, now);
    if (!ended) {
        return;
    }
    // The result of an attempt at an earlier incarnation of the target is no evidence about the present one.
    if (assignment.target->version.incarnation == target->target()->version.incarnation) {
        recordResult(*target, *ended, end, now);
    }
    if (target->target()->condition == targets::Condition::Gone && target->inFlight() == 0) {
        erase(assignment.target->id);
        m_ejections.recount(m_targets);
    }
}

void ServiceRouter::recordResult(TargetState &target,
                                 const InFlightAttempt &attempt,
                                 const AttemptEnd &end,
                                 core::TimePoint now)
{
    if (end.signals) {
        recordSignals(target, *end.signals, attempt.start, now);
    }
    if (end.outcome == AttemptOutcome::Unreachable) {
        target.backOff(now);
    }
    const bool isSilent = end.outcome == AttemptOutcome::Silent && attempt.silenceLimit
                          && end.latency >= *attempt.silenceLimit && recordSilence(target, attempt, now);
    if (end.outcome == AttemptOutcome::Cancelled || isSilent) {
        if (attempt.isProbation) {
            target.outlierState().cancelProbation();
        }
        return;
    }
    // The threshold that decides whether the attempt was late is the one before its own sample.
    const auto before = m_times.latency().lateThreshold();
    if (end.outcome == AttemptOutcome::Answered) {
        target.recordAnswer();
        m_times.addAnswered({end.latency, attempt.slowness, attempt.hadFreeSlot, target.isLocal()});
    }
    m_ejections.recordEnd(target, attempt, end, before, now, context());
}

bool ServiceRouter::recordSilence(TargetState &target, const InFlightAttempt &attempt, core::TimePoint now)
{
    // What was queued at the target when the attempt began has ended after this time, or is silent too.
    const bool isFull = target.recordSilence(attempt, now, *attempt.silenceLimit);
    if (isFull) {
        m_full.recordSilence(target.target()->id, now);
    }
    return isFull;
}

std::optional<core::TimePoint> ServiceRouter::pausedUntil(core::TimePoint now) const
{
    std::optional<core::TimePoint> earliest;
    for (const auto &target : m_targets) {
        if (target.isServing() && (!earliest || target.nextAllowed() < *earliest)) {
            earliest = target.nextAllowed();
        }
    }
    return earliest && *earliest > now ? earliest : std::nullopt;
}

void ServiceRouter::updateRequestPaces()
{
    for (auto &target : m_targets) {
        target.updateRequestPace(m_hooks);
    }
}

TargetStatus ServiceRouter::status(const core::TargetId &id) const
{
    const auto *target = find(id);
    return target == nullptr ? TargetStatus{} : target->status();
}

double ServiceRouter::usedShare(core::TimePoint now) const
{
    double used = 0;
    double total = 0;
    for (const auto &target : m_targets) {
        if (target.isServing()) {
            const auto slots = target.slots(m_service);
            used += std::min<double>(target.estimatedLoad(now), slots);
            total += slots;
        }
    }
    return total > 0 ? used / total : 1;
}

core::Duration ServiceRouter::usualProcessingTime() const
{
    return core::Duration(static_cast<std::int64_t>(m_times.processingTime().nanoseconds()));
}

const LatencyEstimate &ServiceRouter::latency() const
{
    return m_times.latency();
}

std::size_t ServiceRouter::inFlight() const
{
    std::size_t count = 0;
    for (const auto &target : m_targets) {
        count += target.inFlight();
    }
    return count;
}

TargetState *ServiceRouter::find(const core::TargetId &id)
{
    const auto found = m_positions.find(id);
    return found == m_positions.end() ? nullptr : &m_targets[found->second];
}

const TargetState *ServiceRouter::find(const core::TargetId &id) const
{
    const auto found = m_positions.find(id);
    return found == m_positions.end() ? nullptr : &m_targets[found->second];
}

std::optional<std::size_t> ServiceRouter::findDueProbation(core::TimePoint now, const AssignOptions &options) const
{
    // Where reports are needed, shortlist() has limited how many targets were offered.
    const bool isTurn = options.probationNeedsReport || m_ejections.isProbationTurn();
    if (m_ejections.outlierCount() == 0 || !isTurn || options.spareOnly) {
        return std::nullopt;
    }
    return m_ejections.findDue(m_targets, now, m_hooks.random, [&](const TargetState &target) {
        return target.inFlight() < target.limit(now, context()) && isAllowed(options, *target.target())
               && isProbationAssignable(target, options, now);
    });
}

bool ServiceRouter::isProbationAssignable(const TargetState &target,
                                          const AssignOptions &options,
                                          core::TimePoint now) const
{
    if (!options.probationNeedsReport) {
        return true;
    }
    if (options.allowedTargets.empty() || target.report(now) == nullptr) {
        return false;
    }
    const auto candidate = makeCandidate(target, target.limit(now, context()), options, now, context());
    return isKnownToHaveRoom(target, options, now, context())
           && isAssignable(target, candidate, options, now, context());
}

void ServiceRouter::erase(const core::TargetId &id)
{
    const auto found = m_positions.find(id);
    const auto position = found->second;
    m_positions.erase(found);
    if (position + 1 != m_targets.size()) {
        m_targets[position] = std::move(m_targets.back());
        m_positions[m_targets[position].target()->id] = position;
    }
    m_targets.pop_back();
}

} // namespace pimentoshed::routing
