#include "entry/requestlog.h"

#include "core/log.h"

#include <chrono>
#include <cstdint>

namespace pimentoshed::entry
{

RequestLog::RequestLog(const CallerHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

void RequestLog::logNotCurrent(const http::Exchange &exchange, const core::Error &error) const
{
    core::log(core::LogLevel::Info,
              "request-refused",
              {{"request", m_dependencies.protocolHooks.requestId(exchange)},
               {"run", core::nameOf(requests::RunStateNames, requests::RunState::NotRun)},
               {"error", describe(error)}});
}

void RequestLog::logRefusal(const ActiveRequest &request) const
{
    core::log(core::LogLevel::Info,
              "request-refused",
              {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
               {"service", request.service->name.str()},
               {"run", core::nameOf(requests::RunStateNames, request.outcome.run)},
               {"tried", static_cast<std::uint64_t>(request.triedTargets.size())},
               {"error", describe(*request.outcome.failure)}});
}

void RequestLog::logFailure(const ActiveRequest &request,
                            const targets::Target &target,
                            const http::RelayResult &result) const
{
    core::log(core::LogLevel::Info,
              "attempt-failed",
              {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
               {"service", request.service->name.str()},
               {"target", target.id.str()},
               {"condition", core::nameOf(targets::ConditionNames, target.condition)},
               {"attempt", static_cast<std::uint64_t>(request.triedTargets.size() + 1)},
               {"stage", core::nameOf(requests::AttemptStageNames, result.stage)},
               {"run", core::nameOf(requests::RunStateNames, result.outcome.run)},
               {"status", result.targetStatus},
               {"connection", result.connection.number},
               {"earlier_requests", static_cast<std::uint64_t>(result.connection.earlierRequests)},
               {"strays", result.connection.strayResponses},
               {"error", describe(*result.outcome.failure)}});
}

void RequestLog::logUnprovenRefusal(const ActiveRequest &request,
                                    const targets::Target &target,
                                    const http::RelayResult &result) const
{
    core::log(core::LogLevel::Info,
              "refusal-unproven",
              {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
               {"service", request.service->name.str()},
               {"target", target.id.str()},
               {"status", result.targetStatus},
               {"delivered", result.sentToCaller ? "yes" : "no"}});
}

void RequestLog::logHedge(const ActiveRequest &request,
                          const targets::Target &first,
                          const targets::Target &second,
                          core::Duration delay) const
{
    core::log(core::LogLevel::Debug,
              "request-hedged",
              {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
               {"service", request.service->name.str()},
               {"first", first.id.str()},
               {"second", second.id.str()},
               {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()}});
}

void RequestLog::logIfLate(const ActiveRequest &request,
                           const routing::Assignment &assignment,
                           const http::RelayResult &result) const
{
    const auto now = m_dependencies.timers.now();
    const auto objective = request.waiting.objective();
    const auto waitStart = request.waiting.waitStart();
    const auto arrival = request.waiting.arrival();
    if (objective == core::Duration{} || now <= waitStart + objective) {
        return;
    }
    const auto milliseconds = [](core::Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    core::log(core::LogLevel::Info,
              "request-late",
              {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
               {"service", request.service->name.str()},
               {"target", assignment.target->id.str()},
               {"domain", assignment.target->domain.str()},
               {"slowness", assignment.slowness},
               {"probed", static_cast<std::uint64_t>(request.probedTargets)},
               {"responded", static_cast<std::uint64_t>(request.respondingTargets)},
               {"before_arrival_ms", milliseconds(arrival - waitStart)},
               {"assignment_ms", milliseconds(request.assignmentTime)},
               {"target_ms", milliseconds(result.headWaitTime)},
               {"total_ms", milliseconds(now - arrival)},
               {"usual_ms", milliseconds(m_dependencies.router.usualProcessingTime(request.service->name))},
               {"attempts", static_cast<std::uint64_t>(request.triedTargets.size() + 1)}});
}

} // namespace pimentoshed::entry
