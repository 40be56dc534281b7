#include "configuration/model.h"

#include <algorithm>

namespace pimentoshed::configuration
{

namespace
{

bool leadsTo(const Route &route, const core::ServiceName &service)
{
    return std::any_of(route.shares.begin(), route.shares.end(), [&service](const RouteShare &share) {
        return share.service == service;
    });
}

} // namespace

const Route *findRoute(const Configuration &configuration, std::string_view hostName, std::string_view path)
{
    const Route *best = nullptr;
    for (const auto &route : configuration.routes) {
        const bool longer = best == nullptr || route.pathPrefix.size() > best->pathPrefix.size();
        if (longer && (route.hostName.empty() || route.hostName == hostName) && path.starts_with(route.pathPrefix)) {
            best = &route;
        }
    }
    return best;
}

Route routeForService(const Service &service)
{
    Route route;
    route.name = core::RouteName(service.name.str());
    route.pathPrefix = service.pathPrefix;
    route.shares.push_back({service.name, 1});
    route.deadline = service.deadline;
    route.importance = service.importance;
    route.isPublic = service.isPublic;
    return route;
}

const Service *findService(const Configuration &configuration, const core::ServiceName &name)
{
    const auto found =
        std::find_if(configuration.services.begin(), configuration.services.end(), [&name](const Service &service) {
            return service.name == name;
        });
    return found == configuration.services.end() ? nullptr : &*found;
}

std::set<std::string> hostNamesOf(const Configuration &configuration, const core::ServiceName &service)
{
    std::set<std::string> names;
    for (const auto &route : configuration.routes) {
        if (leadsTo(route, service)) {
            names.insert(route.hostName);
        }
    }
    return names;
}

core::Duration shortestLatencyObjective(const Configuration &configuration, const core::ServiceName &service)
{
    core::Duration least{};
    for (const auto &route : configuration.routes) {
        const bool shorter = least == core::Duration{} || route.latencyObjective < least;
        if (leadsTo(route, service) && route.latencyObjective > core::Duration{} && shorter) {
            least = route.latencyObjective;
        }
    }
    return least;
}

core::Duration longestDeadline(const Configuration &configuration)
{
    core::Duration longest{};
    for (const auto &service : configuration.services) {
        longest = std::max(longest, service.deadline);
    }
    for (const auto &route : configuration.routes) {
        longest = std::max(longest, route.deadline);
    }
    return longest;
}

bool isIdempotent(const Route &route, const Service &service, std::string_view method)
{
    const auto &methods = service.idempotentMethods;
    switch (route.idempotency) {
    case Idempotency::Always:
        return true;
    case Idempotency::Never:
        return false;
    case Idempotency::ByMethod:
        break;
    }
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace pimentoshed::configuration
