#include "entry/attempts.h"

#include <utility>

namespace pimentoshed::entry
{

using core::ErrorCode;
using requests::RunState;

namespace
{

/**
 * Limit on the targets tried for one request. A failed connection proves that the request did not run, so the attempt
 * limit of the route doesn't count it; this limit does.
 */
constexpr std::size_t MaxTriedTargets = 6;

routing::AttemptOutcome attemptOutcome(const http::RelayResult &result)
{
    if (result.stage == requests::AttemptStage::NotConnected && result.outcome.failure
        && result.outcome.failure->code == ErrorCode::TargetFailed) {
        return routing::AttemptOutcome::Unreachable;
    }
    if (result.isSilent) {
        return routing::AttemptOutcome::Silent;
    }
    if (result.serverError) {
        return routing::AttemptOutcome::Failed;
    }
    if (!result.outcome.failure) {
        return routing::AttemptOutcome::Answered;
    }
    switch (result.outcome.failure->code) {
    case ErrorCode::TargetFailed:
    case ErrorCode::AnswerTruncated:
    case ErrorCode::DeadlinePassed:
        return routing::AttemptOutcome::Failed;
    default:
        return routing::AttemptOutcome::Cancelled;
    }
}

/** Records the result of a failed attempt at target @p id. */
void recordFailure(ActiveRequest &request, const core::TargetId &id, const http::RelayResult &result)
{
    request.triedTargets.push_back(id);
    const auto earlier = request.attemptsSent == 0 ? RunState::NotRun : request.outcome.run;
    request.outcome = {requests::combineRunStates(earlier, result.outcome.run), result.outcome.failure};
    if (result.stage >= requests::AttemptStage::HeadSent) {
        ++request.attemptsSent;
    }
}

bool canResend(const http::RelayResult &result)
{
    const auto code = result.outcome.failure->code;
    return !result.sentToCaller && !result.bodyConsumed && !result.callerLeft
           && (code == ErrorCode::TargetFailed || code == ErrorCode::AnswerTruncated);
}

} // namespace

Attempts::Attempts(const CallerHandlerDependencies &dependencies,
                   const TargetAssignment &assignment,
                   const RequestQuota &quota,
                   const Refusals &refusals,
                   const RequestLog &log)
    : m_dependencies(dependencies)
    , m_assignment(assignment)
    , m_quota(quota)
    , m_refusals(refusals)
    , m_log(log)
{
}

void Attempts::run(ActiveRequest &request, telemetry::CompletedRequest &completed) const
{
    m_dependencies.onFirstAttempt(*request.service);
    while (true) {
        const auto assignmentStart = m_dependencies.timers.now();
        auto assigned = m_assignment.assignOrWait(request);
        completed.service = request.service->name.str();
        request.assignmentTime += m_dependencies.timers.now() - assignmentStart;
        if (!core::ok(assigned)) {
            endWithoutTarget(request, core::error(assigned), completed);
            return;
        }
        auto &target = core::value(assigned);
        // The request may have waited beyond the end of its token.
        if (const auto quota = m_quota.take(request); !core::ok(quota)) {
            release(request, target);
            endWithoutTarget(request, core::error(quota), completed);
            return;
        }
        const auto result = attempt(request, target);
        completed.targetWait = result.headWaitTime;
        completed.silentAttempts += result.isSilent ? 1 : 0;
        if (!result.outcome.failure) {
            completed.failure.reset();
            m_log.logIfLate(request, target.assignment, result);
            return;
        }
        recordFailure(request, target.assignment.target->id, result);
        completed.failure = request.outcome.failure->code;
        if (!mayRetry(request, result)) {
            refuseOrClose(request, result);
            return;
        }
        request.exchange.body().rewind();
    }
}

void Attempts::endWithoutTarget(ActiveRequest &request,
                                const core::Error &error,
                                telemetry::CompletedRequest &completed) const
{
    completed.failure = error.code;
    if (error.code == ErrorCode::CallerTooSlow) {
        request.exchange.closeAfterwards();
        return;
    }
    if (request.attemptsSent == 0) {
        request.outcome = {RunState::NotRun, error};
    }
    m_log.logRefusal(request);
    m_refusals.refuse(request.exchange, request.outcome, &request.service->name, request.retryAfter);
}

void Attempts::release(const ActiveRequest &request, AssignedTarget &assigned) const
{
    const auto now = m_dependencies.timers.now();
    if (assigned.connection) {
        m_dependencies.connections.give(assigned.assignment.target->address, std::move(assigned.connection), now);
    }
    m_dependencies.router.release(assigned.assignment, {routing::AttemptOutcome::Cancelled, {}, {}}, now);
    m_dependencies.scheduler.notifyCapacity(request.service->name);
}

http::RelayResult Attempts::attempt(ActiveRequest &request, AssignedTarget &assigned) const
{
    const auto &target = *assigned.assignment.target;
    auto options = relayOptions(request, target);
    request.isRetryGranted = false;
    options.silenceLimit = assigned.assignment.silenceLimit;
    options.onSilence = [this, &request]() {
        return grantRetry(request);
    };
    const auto started = m_dependencies.timers.now();
    request.row->sendTo(target.id, request.service->name, started);
    auto result =
        assigned.connection
            ? http::relayOn(std::move(assigned.connection), request.exchange, m_dependencies.connections, options)
            : http::relay(request.exchange, m_dependencies.connections, options);
    const auto ended = m_dependencies.timers.now();
    request.row->awaitAssignment(ended);
    m_dependencies.router.release(
        assigned.assignment, {attemptOutcome(result), ended - started, result.signals}, ended);
    m_dependencies.scheduler.notifyCapacity(request.service->name);
    if (result.outcome.failure) {
        m_log.logFailure(request, target, result);
    }
    return result;
}

http::RelayOptions Attempts::relayOptions(const ActiveRequest &request, const targets::Target &target) const
{
    http::RelayOptions options;
    options.address = target.address;
    options.deadline = request.waiting.deadline();
    options.maxRequestBytes = request.service->maxRequestBytes;
    options.shedIsNotRun = request.service->shedIsNotRun;
    options.idempotent = request.waiting.isIdempotent();
    options.passServerErrors = !options.idempotent || request.attemptsSent + 1 >= request.route->maxAttempts;
    options.answerBufferBytes = m_dependencies.options.answerBufferBytes;
    options.target = target.id;
    options.protocolHooks = &m_dependencies.protocolHooks;
    if (!request.active->configuration->workspaces.empty()) {
        options.workspace = request.caller.workspace ? request.caller.workspace->name : core::WorkspaceName();
    }
    return options;
}

bool Attempts::grantRetry(ActiveRequest &request) const
{
    if (!request.exchange.body().canRewind() || request.triedTargets.size() + 1 >= MaxTriedTargets) {
        return false;
    }
    auto failed = latestAttempt(request, m_dependencies.timers.now());
    failed.runState = RunState::Unknown;
    ++failed.attempts;
    request.isRetryGranted = m_dependencies.mayRetry(failed);
    return request.isRetryGranted;
}

bool Attempts::mayRetry(const ActiveRequest &request, const http::RelayResult &result) const
{
    if (!canResend(result) || request.triedTargets.size() >= MaxTriedTargets) {
        return false;
    }
    const auto failed = latestAttempt(request, m_dependencies.timers.now());
    if (request.isRetryGranted) {
        return requests::canRetry(failed);
    }
    // If no target has received the request, another attempt isn't a retry for them: no retry budget is used.
    return request.attemptsSent == 0 ? requests::canRetry(failed) : m_dependencies.mayRetry(failed);
}

void Attempts::refuseOrClose(const ActiveRequest &request, const http::RelayResult &result) const
{
    if (result.sentToCaller || result.callerLeft) {
        request.exchange.closeAfterwards();
        return;
    }
    m_refusals.refuse(request.exchange, request.outcome, &request.service->name);
}

} // namespace pimentoshed::entry
