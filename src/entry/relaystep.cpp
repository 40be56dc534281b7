#include "entry/relaystep.h"

namespace pimentoshed::entry
{

using core::ErrorCode;

namespace
{

routing::AttemptOutcome attemptOutcome(const routing::Assignment &assignment,
                                       core::Duration duration,
                                       const http::RelayResult &result)
{
    if (result.isSuperseded) {
        const bool isSilent = result.isSilent && assignment.silenceLimit && duration >= *assignment.silenceLimit;
        return isSilent ? routing::AttemptOutcome::Silent : routing::AttemptOutcome::Cancelled;
    }
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
    if (!result.outcome.failure || result.isUnprovenRefusal) {
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

} // namespace

RelayStep::RelayStep(const CallerHandlerDependencies &dependencies, const RequestLog &log)
    : m_dependencies(dependencies)
    , m_log(log)
{
}

http::RelayOptions RelayStep::options(const ActiveRequest &request,
                                      const targets::Target &target,
                                      unsigned attempts) const
{
    http::RelayOptions options;
    options.address = target.address;
    options.deadline = request.waiting.deadline();
    options.maxRequestBytes = request.service->maxRequestBytes;
    options.shedIsNotRun = request.service->shedIsNotRun;
    options.idempotent = request.waiting.isIdempotent();
    options.passServerErrors = !options.idempotent || attempts + 1 >= request.route->maxAttempts;
    options.answerBufferBytes = m_dependencies.options.answerBufferBytes;
    options.target = target.id;
    options.protocolHooks = &m_dependencies.protocolHooks;
    if (!request.active->configuration->workspaces.empty()) {
        options.workspace = request.caller.workspace ? request.caller.workspace->name : core::WorkspaceName();
    }
    return options;
}

void RelayStep::end(const ActiveRequest &request,
                    const routing::Assignment &assignment,
                    core::TimePoint started,
                    const http::RelayResult &result) const
{
    const auto now = m_dependencies.timers.now();
    const auto outcome = attemptOutcome(assignment, now - started, result);
    m_dependencies.router.release(assignment, {outcome, now - started, result.signals}, now);
    const bool hasFailed = outcome == routing::AttemptOutcome::Failed;
    if (hasFailed || outcome == routing::AttemptOutcome::Answered || result.isSuperseded) {
        // The response of a superseded attempt would have taken longer, so its time still shows a slow version.
        const auto duration = result.isSuperseded ? now - started : result.headWaitTime;
        recordVersion(request, *assignment.target, hasFailed, duration);
    }
    m_dependencies.scheduler.notifyCapacity(request.service->name);
    if (result.outcome.failure && !result.isSuperseded) {
        m_log.logFailure(request, *assignment.target, result);
    }
    if (result.isUnprovenRefusal) {
        m_log.logUnprovenRefusal(request, *assignment.target, result);
    }
}

void RelayStep::recordVersion(const ActiveRequest &request,
                              const targets::Target &target,
                              bool hasFailed,
                              core::Duration duration) const
{
    const bool isCold = target.condition == targets::Condition::Cold;
    m_dependencies.rollouts.record({request.service->name,
                                    request.route->name,
                                    target.softwareVersion,
                                    hasFailed,
                                    isCold ? std::nullopt : std::optional(duration)});
}

} // namespace pimentoshed::entry
