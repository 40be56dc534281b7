#include "entry/requestidentification.h"

#include <algorithm>
#include <variant>

namespace pimentoshed::entry
{

RequestIdentification::RequestIdentification(const CallerHandlerDependencies &dependencies,
                                             const ConfigurationFollower &follower)
    : m_dependencies(dependencies)
    , m_follower(follower)
{
}

core::Status RequestIdentification::identify(ActiveRequest &request, const ConfigurationRef &active) const
{
    request.key = m_dependencies.protocolHooks.callerKey(request.exchange.request());
    if (auto followed = m_follower.follow(request, active); !core::ok(followed)) {
        return followed;
    }
    const auto deadline = deadlineOf(request.exchange, *request.route);
    if (!core::ok(deadline)) {
        return core::error(deadline);
    }
    request.waiting.setDeadline(core::value(deadline), request.route->deadline);
    return std::monostate{};
}

core::Result<core::TimePoint> RequestIdentification::deadlineOf(const http::Exchange &exchange,
                                                                const configuration::Route &route) const
{
    const auto timeout = m_dependencies.protocolHooks.callerTimeout(exchange);
    if (!core::ok(timeout)) {
        return core::error(timeout);
    }
    return m_dependencies.timers.now() + std::min(route.deadline, core::value(timeout).value_or(route.deadline));
}

} // namespace pimentoshed::entry
