/**
 * @file
 * What an operator's file says, once checked. Values here are within the bounds of docs/CONFIGURATION.md.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoshed::configuration
{

/** A customer of the system, with its share of contended capacity. */
struct Institution {
    core::InstitutionName name;
    /** Share relative to the other institutions, at least 1. */
    unsigned weight = 1;

    bool operator==(const Institution &) const = default;
};

/** How a service's requests are recognised, limited and repeated. */
struct Service {
    core::ServiceName name;
    core::InstitutionName institution;
    /** Requests whose path starts with this belong to the service. Begins and ends with '/'. */
    std::string pathPrefix;
    /** Requests that a warm target runs at once. */
    unsigned slots = 1;
    /** Requests that a cold target runs at once. */
    unsigned coldSlots = 1;
    /** How long a target that says nothing of its own is taken to be cold after its start. */
    core::Duration warmUp{};
    /** Connections that one target takes from the whole system. */
    unsigned connections = 250;
    /** Time a request has where its caller names none, and the most that a caller may name. */
    core::Duration deadline{};
    std::uint64_t maxRequestBytes = 0;
    /** Requests that may wait at one entry host. */
    unsigned queueLimit = 0;
    /** Higher is shed later, 0 to 9. */
    unsigned importance = 0;
    /** Requests with these methods may run more than once. */
    std::vector<std::string> idempotentMethods;
    /** The header that names a non-idempotent request. */
    std::string requestKeyHeader;
    /** Whether a target's own 503 proves that the request was not run. */
    bool shedIsNotRun = false;
    /** Probes a target gets from the whole system in a second. */
    double probesPerSecond = 0;
    /** Retries and hedges together, as a share of first tries. */
    double retryRatio = 0;
    /** Where targets tell their health and load; empty where they don't. */
    std::string healthPath;
    /** Requests a second that a cold target takes from the whole system; 0 where only coldSlots bound it. */
    double coldRequestsPerSecond = 0;

    bool operator==(const Service &) const = default;
};

/** Which requests of a route may run more than once. */
enum class Idempotency : std::uint8_t {
    /** Those whose method is among the idempotent ones of their service. */
    ByMethod,
    Always,
    Never,
};

inline constexpr std::array IdempotencyNames{
    core::EnumName<Idempotency>{Idempotency::ByMethod, "by-method"},
    core::EnumName<Idempotency>{Idempotency::Always, "always"},
    core::EnumName<Idempotency>{Idempotency::Never, "never"},
};

/** A service's part of a route. */
struct RouteShare {
    core::ServiceName service;
    /** Relative to the other shares of the route; 0 gets nothing. */
    double weight = 1;

    bool operator==(const RouteShare &) const = default;
};

/** Requests with the same host name and path prefix, where they go, and on what terms. */
struct Route {
    core::RouteName name;
    /** The host that a request names; empty where any will do. */
    std::string hostName;
    /** Begins and ends with '/'. */
    std::string pathPrefix;
    /** At least one. */
    std::vector<RouteShare> shares;
    Idempotency idempotency = Idempotency::ByMethod;
    /** Targets that one request may be sent to. */
    unsigned maxAttempts = 3;
    /** Time a request has where its caller names none, and the most that a caller may name. */
    core::Duration deadline{};
    /** Within this, an answer is worth most to its caller; zero where nothing is said. */
    core::Duration latencyObjective{};
    /** Higher is shed later, 0 to 9. */
    unsigned importance = 0;

    bool operator==(const Route &) const = default;
};

/** What an entry host does once it can't know its configuration to be current. */
enum class WhenStale : std::uint8_t {
    /** Refuses requests as not run. */
    Refuse,
    /** Serves on what it last knew, but for cold targets. */
    Serve,
};

inline constexpr std::array WhenStaleNames{
    core::EnumName<WhenStale>{WhenStale::Refuse, "refuse"},
    core::EnumName<WhenStale>{WhenStale::Serve, "serve"},
};

/** A member of the control hosts. */
struct ControlHost {
    core::HostId id;
    /** Where the other hosts reach it, as IP:PORT. */
    std::string address;

    bool operator==(const ControlHost &) const = default;
};

/** Times that hold for the whole system. */
struct Limits {
    /** How long an entry host may act on its configuration after it knew it to be current. */
    core::Duration permission = std::chrono::seconds(3);
    /** How long a target counts as present after its last renewal. */
    core::Duration targetLease = std::chrono::seconds(6);
    /** How long callers may keep an address answer. */
    core::Duration addressLifetime = std::chrono::seconds(5);
    /** Addresses in one answer. */
    unsigned addressCount = 3;
    /** How long the system remembers that a request key was used. */
    core::Duration requestKeyRetention = std::chrono::hours(24);
    /** Request keys remembered at once, shared between institutions by weight. */
    std::uint64_t requestKeyCapacity = 200000;
    WhenStale whenStale = WhenStale::Refuse;

    bool operator==(const Limits &) const = default;
};

/** A whole file. */
struct Configuration {
    /** The version this file replaces; the file itself becomes the next one. */
    std::uint64_t replaces = 0;
    /** The version that the file gives itself; without one it takes the next number. */
    std::optional<std::uint64_t> version;
    std::vector<Institution> institutions;
    std::vector<core::FailureDomain> failureDomains;
    std::vector<Service> services;
    /** Every service with a path prefix has a route of its own name here. */
    std::vector<Route> routes;
    std::vector<ControlHost> controlHosts;
    Limits limits;

    bool operator==(const Configuration &) const = default;
};

/** The route of @p hostName with the longest path prefix that @p path starts with, or nullptr. */
const Route *findRoute(const Configuration &configuration, std::string_view hostName, std::string_view path);

/** The shortest objective of the routes that lead to @p service; zero where none has one. */
core::Duration shortestLatencyObjective(const Configuration &configuration, const core::ServiceName &service);

/** The route that the path prefix of @p service stands for. */
Route routeOf(const Service &service);

/** The service called @p name, or nullptr. */
const Service *findService(const Configuration &configuration, const core::ServiceName &name);

/** Whether requests of @p route with @p method may run more than once at @p service. */
bool isIdempotent(const Route &route, const Service &service, std::string_view method);

} // namespace pimentoshed::configuration
