#include "entry/configurationfollower.h"

#include "core/log.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

namespace pimentoshed::entry
{

using core::ErrorCode;

namespace
{

bool leadsTo(const configuration::Route &route, const core::ServiceName &service)
{
    return std::any_of(route.shares.begin(), route.shares.end(), [&service](const auto &share) {
        return share.service == service && share.weight > 0;
    });
}

/** The request's Host header without a port. */
std::string_view hostName(const http::Exchange &exchange)
{
    const auto host = exchange.header("Host");
    return host.substr(0, host.find(':'));
}

} // namespace

ConfigurationFollower::ConfigurationFollower(const CallerHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

core::Status ConfigurationFollower::follow(ActiveRequest &request, const ConfigurationRef &active) const
{
    const auto &configuration = *active->configuration;
    const auto &exchange = request.exchange;
    const auto *route = configuration::findRoute(configuration, hostName(exchange), exchange.path());
    if (route == nullptr) {
        logUnknownRoute(request, *active);
        return isCurrent() ? core::Error{ErrorCode::NoSuchService, std::string(exchange.path())}
                           : core::Error{ErrorCode::NotCurrent, "a newer configuration may have a route"};
    }
    auto caller = identifyCaller(request, *active, *route);
    if (!core::ok(caller)) {
        return core::error(caller);
    }
    const bool keepsService = request.service != nullptr && leadsTo(*route, request.service->name);
    const auto *service =
        configuration::findService(configuration, keepsService ? request.service->name : chooseService(*route));
    if (service == nullptr) {
        return core::Error{ErrorCode::NoSuchService, std::string(exchange.path())};
    }
    const bool idempotent = configuration::isIdempotent(*route, *service, exchange.method());
    request.active = active;
    request.caller = std::move(core::value(caller));
    request.route = route;
    request.service = service;
    request.version = m_dependencies.router.chooseVersion(service->name);
    request.waiting.follow(route->latencyObjective, idempotent);
    const bool needsRequestKey = route->idempotency == configuration::Idempotency::ByMethod;
    if (needsRequestKey && !idempotent && exchange.header(service->requestKeyHeader).empty()) {
        return core::Error{ErrorCode::RequestKeyMissing, service->requestKeyHeader};
    }
    return std::monostate{};
}

core::Status ConfigurationFollower::checkKeys(const ActiveRequest &request) const
{
    if (workspaces::mayUseKeys(*request.active->configuration, *request.route, isCurrent())) {
        return std::monostate{};
    }
    return core::Error{ErrorCode::NotCurrent, "keys may have been taken away"};
}

core::Result<workspaces::Caller> ConfigurationFollower::identifyCaller(const ActiveRequest &request,
                                                                       const EntryConfiguration &active,
                                                                       const configuration::Route &route) const
{
    auto caller = workspaces::identify(*active.configuration, active.keys, route, request.key, isCurrent());
    if (!core::ok(caller) && core::error(caller).code == ErrorCode::KeyUnknown) {
        core::log(core::LogLevel::Info,
                  "key-refused",
                  {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
                   {"route", route.name.str()},
                   {"reason", core::error(caller).detail},
                   {"revision", active.revision}});
        m_dependencies.onKeyRefused(route.name);
    }
    return caller;
}

void ConfigurationFollower::logUnknownRoute(const ActiveRequest &request, const EntryConfiguration &active) const
{
    core::log(core::LogLevel::Info,
              "route-unknown",
              {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
               {"host_name", std::string(hostName(request.exchange))},
               {"path", std::string(request.exchange.path())},
               {"revision", active.revision},
               {"current", isCurrent() ? "yes" : "no"}});
}

bool ConfigurationFollower::isCurrent() const
{
    return m_dependencies.timers.now() < m_dependencies.view.currentUntil();
}

core::ServiceName ConfigurationFollower::chooseService(const configuration::Route &route) const
{
    double total = 0;
    for (const auto &share : route.shares) {
        total += share.weight;
    }
    constexpr double Steps = 1U << 30U;
    double left = total * static_cast<double>(core::randomBelow(m_dependencies.random, 1U << 30U)) / Steps;
    for (const auto &share : route.shares) {
        if (left < share.weight) {
            return share.service;
        }
        left -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace pimentoshed::entry
