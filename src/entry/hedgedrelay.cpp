#include "entry/hedgedrelay.h"

#include <utility>

namespace pimentoshed::entry
{

using core::ErrorCode;
using requests::HedgeOutcome;

namespace
{

bool failedWith(const http::RelayResult &result, ErrorCode code)
{
    return result.outcome.failure && result.outcome.failure->code == code;
}

HedgeOutcome outcomeOf(const http::RelayResult &result)
{
    if (!result.outcome.failure) {
        return HedgeOutcome::Won;
    }
    const bool isCancelled = result.isSuperseded || result.callerLeft;
    return isCancelled ? HedgeOutcome::Cancelled : HedgeOutcome::Failed;
}

} // namespace

HedgedRelay::HedgedRelay(const CallerHandlerDependencies &dependencies,
                         const TargetAssignment &assignment,
                         const RequestQuota &quota,
                         const RelayStep &step,
                         const RequestLog &log)
    : m_dependencies(dependencies)
    , m_assignment(assignment)
    , m_quota(quota)
    , m_step(step)
    , m_log(log)
{
}

std::vector<EndedAttempt> HedgedRelay::run(ActiveRequest &request, AssignedTarget assigned) const
{
    const auto &hooks = m_dependencies.hedging;
    request.row->sendTo(assigned.assignment.target->id, request.service->name, m_dependencies.timers.now());
    const auto delay = hooks.delay && http::canRace(request.exchange) ? hooks.delay(candidate(request)) : std::nullopt;
    std::vector<EndedAttempt> ended;
    if (delay) {
        ended = race(request, std::move(assigned), *delay);
    } else {
        const Sent sent{assigned.assignment, m_dependencies.timers.now()};
        const auto options = m_step.options(request, *sent.assignment.target, request.attemptsSent);
        auto &pool = m_dependencies.connections;
        auto result = assigned.connection
                          ? http::relayOn(std::move(assigned.connection), request.exchange, pool, options)
                          : http::relay(request.exchange, pool, options);
        endFirst(request, sent, result);
        ended.push_back({sent.assignment, std::move(result)});
    }
    request.row->awaitAssignment(m_dependencies.timers.now());
    return ended;
}

std::vector<EndedAttempt> HedgedRelay::race(ActiveRequest &request, AssignedTarget assigned, core::Duration delay) const
{
    const Sent first{assigned.assignment, m_dependencies.timers.now()};
    std::optional<Sent> second;
    http::RaceHooks hooks;
    hooks.delay = delay;
    hooks.makeSecond = [&](const http::Yield &yield) {
        return makeSecond(request, first, second, yield);
    };
    hooks.onEnd = [&](http::Entrant entrant, const http::RelayResult &result) {
        entrant == http::Entrant::First ? endFirst(request, first, result) : endSecond(request, *second, result);
    };
    auto options = m_step.options(request, *first.assignment.target, request.attemptsSent);
    auto result = http::relayRace(
        request.exchange, m_dependencies.connections, {std::move(options), std::move(assigned.connection)}, hooks);
    std::vector<EndedAttempt> ended;
    ended.push_back({first.assignment, std::move(result.first)});
    if (!result.second) {
        return ended;
    }
    const bool hasFirstDecided = result.second->isSuperseded;
    ended.push_back({second->assignment, std::move(*result.second)});
    if (hasFirstDecided) {
        std::swap(ended.front(), ended.back());
    }
    return ended;
}

std::optional<http::RaceEntry> HedgedRelay::makeSecond(const ActiveRequest &request,
                                                       const Sent &first,
                                                       std::optional<Sent> &second,
                                                       const http::Yield &yield) const
{
    const auto &hooks = m_dependencies.hedging;
    // Both attempts are one request for the quota of its workspace, as long as its token may be used.
    if (!m_quota.isCovered(request) || !hooks.mayHedge(candidate(request))) {
        return std::nullopt;
    }
    auto assigned = m_assignment.assignSpare(request, first.assignment.target->id, yield);
    if (!core::ok(assigned)) {
        hooks.giveBack(*request.service);
        hooks.onEnd(request.service->name, HedgeOutcome::NoTarget);
        return std::nullopt;
    }
    auto &found = core::value(assigned);
    second = Sent{found.assignment, m_dependencies.timers.now()};
    m_log.logHedge(request, *first.assignment.target, *found.assignment.target, second->start - first.start);
    request.row->sendTo(found.assignment.target->id, request.service->name, second->start);
    return http::RaceEntry{m_step.options(request, *found.assignment.target, request.attemptsSent + 1),
                           std::move(found.connection)};
}

requests::HedgeCandidate HedgedRelay::candidate(const ActiveRequest &request) const
{
    return {.service = *request.service,
            .route = *request.route,
            .idempotent = request.waiting.isIdempotent(),
            .attempts = request.attemptsSent + 1,
            .timeLeft = request.waiting.deadline() - m_dependencies.timers.now()};
}

void HedgedRelay::endFirst(const ActiveRequest &request, const Sent &sent, const http::RelayResult &result) const
{
    m_step.end(request, sent.assignment, sent.start, result);
    const auto &hooks = m_dependencies.hedging;
    // An attempt that was given up was later than usual, which is all that its time says.
    const bool showsTime =
        !result.outcome.failure || result.isSuperseded || failedWith(result, ErrorCode::DeadlinePassed);
    if (hooks.onResponse && showsTime && !result.serverError) {
        hooks.onResponse(*request.service, *request.route, m_dependencies.timers.now() - sent.start);
    }
    if (hooks.onShed && result.stage == requests::AttemptStage::Shed) {
        hooks.onShed(*request.service);
    }
}

void HedgedRelay::endSecond(const ActiveRequest &request, const Sent &sent, const http::RelayResult &result) const
{
    m_step.end(request, sent.assignment, sent.start, result);
    const auto &hooks = m_dependencies.hedging;
    if (result.stage < requests::AttemptStage::HeadSent) {
        hooks.giveBack(*request.service);
    }
    if (result.stage == requests::AttemptStage::Shed) {
        hooks.onShed(*request.service);
    }
    hooks.onEnd(request.service->name, outcomeOf(result));
}

} // namespace pimentoshed::entry
