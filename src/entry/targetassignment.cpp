#include "entry/targetassignment.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::entry
{

using core::ErrorCode;

namespace
{

/** Pause between two attempts of a late request to find an idle target, at least; else half the processing time. */
constexpr core::Duration MinLatePause = std::chrono::milliseconds(30);
/** Pause of a request whose service was removed while another configuration is being adopted. */
constexpr core::Duration AdoptionPause = std::chrono::milliseconds(5);

/** Whether the search for a target goes on: there was no target just now. */
bool isWithoutTarget(const core::Result<AssignedTarget> &assigned)
{
    return !core::ok(assigned) && core::error(assigned).code == ErrorCode::NoTarget;
}

} // namespace

TargetAssignment::TargetAssignment(const CallerHandlerDependencies &dependencies,
                                   const ConfigurationFollower &follower,
                                   const TargetProber &prober)
    : m_dependencies(dependencies)
    , m_follower(follower)
    , m_prober(prober)
{
}

core::Result<AssignedTarget> TargetAssignment::assignOrWait(ActiveRequest &request) const
{
    while (true) {
        const auto now = m_dependencies.timers.now();
        const auto active = m_dependencies.view.current(now);
        if (!core::ok(active)) {
            return core::error(active);
        }
        if (core::value(active)->revision != request.active->revision) {
            if (const auto followed = m_follower.follow(request, core::value(active)); !core::ok(followed)) {
                return core::error(followed);
            }
            // The route may now allow fewer attempts, or none after one that may have run.
            if (request.attemptsSent > 0 && !requests::canRetry(latestAttempt(request, now))) {
                return *request.outcome.failure;
            }
        }
        auto assigned = assignInService(request);
        if (core::ok(assigned) || core::error(assigned).code != ErrorCode::NoSuchService) {
            return assigned;
        }
        if (m_dependencies.view.revision() != request.active->revision) {
            continue;
        }
        // The request's configuration has the service, so another one is being adopted.
        const bool isCallerThere = waitFor(request.exchange, AdoptionPause);
        if (const auto ended = request.waiting.ended({.now = m_dependencies.timers.now(),
                                                      .hasCallerLeft = !isCallerThere,
                                                      .stop = {},
                                                      .pausedUntil = {},
                                                      .waitEnd = {}})) {
            return *ended;
        }
    }
}

core::Result<AssignedTarget> TargetAssignment::assignInService(ActiveRequest &request) const
{
    const auto &service = request.service->name;
    const auto processingTime = m_dependencies.router.usualProcessingTime(service);
    if (request.waiting.isLate(processingTime, m_dependencies.timers.now())) {
        return assignLate(request);
    }
    if (m_dependencies.scheduler.waitingCount(service) == 0) {
        auto assigned = assign(request);
        if (!isWithoutTarget(assigned)) {
            return assigned;
        }
    }
    return assignFromQueue(request);
}

core::Result<AssignedTarget> TargetAssignment::assignFromQueue(ActiveRequest &request) const
{
    const auto &service = request.service->name;
    auto found = situation(request);
    const auto processingTime = found.usualProcessingTime;
    const auto queueDeadline = request.waiting.queueDeadline(processingTime);
    found.pausedUntil = m_dependencies.router.pausedUntil(service, found.now);
    found.waitEnd = queueDeadline - processingTime;
    if (const auto ended = request.waiting.ended(found)) {
        return *ended;
    }
    auto scheduled = m_dependencies.scheduler.wait(request.exchange, service, queueDeadline, processingTime);
    while (core::ok(scheduled)) {
        auto assigned = request.exchange.hasCallerLeft()
                            ? core::Result<AssignedTarget>(core::Error{ErrorCode::CallerTooSlow, {}})
                            : assign(request);
        if (!isWithoutTarget(assigned)) {
            m_dependencies.scheduler.complete(core::value(scheduled));
            return assigned;
        }
        scheduled = m_dependencies.scheduler.requeue(request.exchange, core::value(scheduled));
    }
    return core::error(scheduled);
}

core::Result<AssignedTarget> TargetAssignment::assignLate(ActiveRequest &request) const
{
    const auto &service = request.service->name;
    const auto patienceEnd = request.waiting.patienceEnd(m_dependencies.timers.now());
    const auto pause = std::max(MinLatePause, m_dependencies.router.usualProcessingTime(service) / 2);
    bool isCallerThere = true;
    bool hasPatience = true;
    while (hasPatience) {
        auto found = situation(request);
        found.hasCallerLeft = !isCallerThere;
        found.pausedUntil = m_dependencies.router.pausedUntil(service, found.now);
        found.waitEnd = patienceEnd;
        if (const auto ended = request.waiting.ended(found)) {
            return *ended;
        }
        hasPatience = found.now + pause <= patienceEnd;
        if (m_dependencies.scheduler.waitingCount(service) == 0 || !hasPatience) {
            auto assigned = assign(request, hasPatience ? AcceptableTargets::Idle : AcceptableTargets::Any);
            if (!isWithoutTarget(assigned)) {
                return assigned;
            }
        }
        isCallerThere = !hasPatience || waitFor(request.exchange, pause);
    }
    return core::Error{ErrorCode::NoTarget, "no target has capacity, and the request can no longer meet its objective"};
}

core::Result<AssignedTarget> TargetAssignment::assign(ActiveRequest &request, AcceptableTargets acceptable) const
{
    const auto found = situation(request);
    if (const auto active = m_dependencies.view.current(found.now); !core::ok(active)) {
        return core::error(active);
    }
    if (const auto ended = request.waiting.ended(found)) {
        return *ended;
    }
    if (const auto checked = m_follower.checkKeys(request); !core::ok(checked)) {
        return core::error(checked);
    }
    auto options = assignOptions(request, found);
    options.excludedTargets = request.triedTargets;
    options.localOnly = !request.waiting.mayUseRemoteDomains(found.usualProcessingTime, found.now);
    options.idleOnly = acceptable == AcceptableTargets::Idle;
    options.probationNeedsReport = m_prober.probesTargets(*request.service);
    auto probed = m_prober.probeTargets(request, options, request.exchange.yield());
    request.probedTargets = probed.size();
    request.respondingTargets = respondingTargets(probed).size();
    request.hasSurveyed = true;
    return assignProbed(request, options, std::move(probed));
}

core::Result<AssignedTarget> TargetAssignment::assignSpare(const ActiveRequest &request,
                                                           const core::TargetId &other,
                                                           const http::Yield &yield) const
{
    const auto found = situation(request);
    if (const auto active = m_dependencies.view.current(found.now); !core::ok(active)) {
        return core::error(active);
    }
    if (const auto ended = request.waiting.ended(found)) {
        return *ended;
    }
    if (const auto checked = m_follower.checkKeys(request); !core::ok(checked)) {
        return core::error(checked);
    }
    if (found.stop) {
        return core::Error{ErrorCode::Stopping, "a stopping host makes no second attempts"};
    }
    auto excluded = request.triedTargets;
    excluded.push_back(other);
    auto options = assignOptions(request, found);
    options.excludedTargets = excluded;
    options.localOnly = true;
    options.idleOnly = true;
    options.spareOnly = true;
    auto probed = m_prober.probeTargets(request, options, yield);
    if (m_prober.probesTargets(*request.service) && respondingTargets(probed).empty()) {
        m_prober.takeConnection(std::move(probed), nullptr);
        return core::Error{ErrorCode::NoTarget, "no idle target answered a probe"};
    }
    return assignProbed(request, options, std::move(probed));
}

core::Result<AssignedTarget> TargetAssignment::assignProbed(const ActiveRequest &request,
                                                            routing::AssignOptions options,
                                                            std::vector<ProbedTarget> probed) const
{
    // Only targets that answered a probe are eligible: the load that the others last reported may be out of date.
    const auto responding = respondingTargets(probed);
    options.allowedTargets = responding;
    auto assignment = m_dependencies.router.assign(request.service->name, m_dependencies.timers.now(), options);
    auto connection = m_prober.takeConnection(std::move(probed),
                                              core::ok(assignment) ? &core::value(assignment).target->id : nullptr);
    if (!core::ok(assignment)) {
        return core::error(assignment);
    }
    return AssignedTarget{std::move(core::value(assignment)), std::move(connection)};
}

routing::AssignOptions TargetAssignment::assignOptions(const ActiveRequest &request,
                                                       const requests::WaitSituation &found)
{
    routing::AssignOptions options;
    options.objective = request.waiting.timeLeft(found.usualProcessingTime, found.now);
    if (request.version) {
        options.softwareVersion = request.version->filter();
    }
    return options;
}

requests::WaitSituation TargetAssignment::situation(const ActiveRequest &request) const
{
    return {.now = m_dependencies.timers.now(),
            .hasConfigurationChanged = m_dependencies.view.revision() != request.active->revision,
            .stop = m_dependencies.hostStop(),
            .usualProcessingTime = m_dependencies.router.usualProcessingTime(request.service->name),
            .pausedUntil = {},
            .waitEnd = {}};
}

} // namespace pimentoshed::entry
