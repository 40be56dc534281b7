#include "entry/attempts.h"

#include <algorithm>
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

/** Records the result of a failed attempt at target @p id. */
void recordFailure(ActiveRequest &request, const core::TargetId &id, const http::RelayResult &result)
{
    request.triedTargets.push_back(id);
    const auto earlier = request.attemptsSent == 0 ? RunState::NotRun : request.outcome.run;
    request.outcome = {requests::combineRunStates(earlier, result.outcome.run), result.outcome.failure};
    // A resend that did not reach the target may follow a sending that did.
    if (result.stage >= requests::AttemptStage::HeadSent || result.outcome.run != RunState::NotRun) {
        ++request.attemptsSent;
    }
}

bool canResend(const http::RelayResult &result)
{
    const auto code = result.outcome.failure->code;
    return !result.sentToCaller && !result.isSuperseded && !result.bodyConsumed && !result.callerLeft
           && (code == ErrorCode::TargetFailed || code == ErrorCode::AnswerTruncated);
}

} // namespace

Attempts::Attempts(const CallerHandlerDependencies &dependencies,
                   const TargetAssignment &assignment,
                   const RequestQuota &quota,
                   const HedgedRelay &relay,
                   const Refusals &refusals,
                   const RequestLog &log)
    : m_dependencies(dependencies)
    , m_assignment(assignment)
    , m_quota(quota)
    , m_relay(relay)
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
        const auto ended = m_relay.run(request, std::move(target));
        const auto &result = ended.back().result;
        completed.targetWait = result.headWaitTime;
        for (const auto &each : ended) {
            completed.silentAttempts += each.result.isSilent ? 1 : 0;
            completed.strayResponses += each.result.connection.strayResponses;
        }
        if (!result.outcome.failure) {
            completed.failure.reset();
            m_log.logIfLate(request, ended.back().assignment, result);
            return;
        }
        for (const auto &each : ended) {
            recordFailure(request, each.assignment.target->id, each.result);
        }
        completed.failure = request.outcome.failure->code;
        if (!mayRetry(request, ended)) {
            refuseOrClose(request, ended);
            return;
        }
        request.exchange.body().rewind();
        // Chosen anew, so that a request that failed at the new version is likely to succeed.
        request.version = m_dependencies.router.chooseVersion(request.service->name);
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

bool Attempts::mayRetry(const ActiveRequest &request, const std::vector<EndedAttempt> &ended) const
{
    const bool canResendAll = std::all_of(ended.begin(), ended.end(), [](const auto &each) {
        return canResend(each.result);
    });
    if (!canResendAll || request.triedTargets.size() >= MaxTriedTargets) {
        return false;
    }
    const auto failed = latestAttempt(request, m_dependencies.timers.now());
    // If no target has received the request, another attempt isn't a retry for them: no retry budget is used.
    return request.attemptsSent == 0 ? requests::canRetry(failed) : m_dependencies.mayRetry(failed);
}

void Attempts::refuseOrClose(const ActiveRequest &request, const std::vector<EndedAttempt> &ended) const
{
    const bool isOver = std::any_of(ended.begin(), ended.end(), [](const auto &each) {
        return each.result.sentToCaller || each.result.callerLeft;
    });
    if (isOver) {
        request.exchange.closeAfterwards();
        return;
    }
    m_refusals.refuse(request.exchange, request.outcome, &request.service->name);
}

} // namespace pimentoshed::entry
