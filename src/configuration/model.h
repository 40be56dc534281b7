/**
 * @file
 * The configuration: the contents of an operator's file after all checks. Values are within the bounds that
 * docs/CONFIGURATION.md lists.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoshed::configuration
{

/** A customer of the system, with its share of contended capacity. */
struct Institution {
    core::InstitutionName name;
    /** Relative to the weights of the other institutions; at least 1. */
    unsigned weight = 1;

    bool operator==(const Institution &) const = default;
};

/** Digest of a caller's key. Keys themselves are kept only in the operator's file. */
using KeyDigest = std::array<std::uint8_t, 32>;

/** A group of callers, known by the keys that their requests carry. */
struct Workspace {
    core::WorkspaceName name;
    std::vector<KeyDigest> keys;
    /** 0 to 9; takes precedence over the importance of a request's route, unless it is not set. */
    std::optional<unsigned> importance;
    /** Requests per second over all entry hosts together; 0 if they are not limited. */
    double requestsPerSecond = 0;
    /** Requests above the rate that may come at once. */
    double burst = 0;

    bool operator==(const Workspace &) const = default;
};

/** A service: how its requests are matched, limited, and retried. */
struct Service {
    core::ServiceName name;
    core::InstitutionName institution;
    /** Requests whose path starts with this belong to the service. Begins and ends with '/'. */
    std::string pathPrefix;
    /** Requests that a warm target processes concurrently. */
    unsigned slots = 1;
    /** Requests that a cold target processes concurrently. */
    unsigned coldSlots = 1;
    /** How long a target that does not announce when it is warm is treated as cold after its start. */
    core::Duration warmUp{};
    /** Limit for the connections to one target from all entry hosts together. */
    unsigned connections = 250;
    /** Default deadline of a request, and the longest that its caller may set. */
    core::Duration deadline{};
    std::uint64_t maxRequestBytes = 0;
    /** Requests that may wait in the queue of one entry host. */
    unsigned queueLimit = 0;
    /** 0 to 9; requests of lower importance are shed first. */
    unsigned importance = 0;
    /** Whether requests need no key of a workspace. */
    bool isPublic = false;
    /** Requests with these methods may be executed more than once. */
    std::vector<std::string> idempotentMethods;
    /** The header that carries the request key of a non-idempotent request. */
    std::string requestKeyHeader;
    /** Whether a 503 sent by the target itself proves that the request was not executed. */
    bool shedIsNotRun = false;
    /** Limit for the probes per second that all entry hosts together send to one target. */
    double probesPerSecond = 0;
    /** Limit for retries, as a share of first attempts. */
    double retryRatio = 0;
    /** Path at which targets report their health and load; empty if they don't report any. */
    std::string healthPath;
    /** Limit for the requests per second from all entry hosts to one cold target; 0 if only coldSlots limits them. */
    double coldRequestsPerSecond = 0;
    /** Limit for second attempts that run beside a slow first one, as a share of first attempts; 0 allows none. */
    double hedgeRatio = 0;

    bool operator==(const Service &) const = default;
};

/** Which requests of a route are idempotent, that is, may be executed more than once. */
enum class Idempotency : std::uint8_t {
    /** Those whose method is in Service::idempotentMethods. */
    ByMethod,
    Always,
    Never,
};

inline constexpr std::array IdempotencyNames{
    core::EnumName<Idempotency>{Idempotency::ByMethod, "by-method"},
    core::EnumName<Idempotency>{Idempotency::Always, "always"},
    core::EnumName<Idempotency>{Idempotency::Never, "never"},
};

/** The share of a route's requests that goes to one service. */
struct RouteShare {
    core::ServiceName service;
    /** Relative to the weights of the route's other shares; a service with weight 0 gets no requests. */
    double weight = 1;

    bool operator==(const RouteShare &) const = default;
};

/** The services that requests with a given host name and path prefix go to, and the rules for these requests. */
struct Route {
    core::RouteName name;
    /** The host name in the request; empty matches any. */
    std::string hostName;
    /** Begins and ends with '/'. */
    std::string pathPrefix;
    /** At least one. */
    std::vector<RouteShare> shares;
    Idempotency idempotency = Idempotency::ByMethod;
    /** Largest number of targets that one request is sent to. */
    unsigned maxAttempts = 3;
    /** Default deadline of a request, and the longest that its caller may set. */
    core::Duration deadline{};
    /** Response time to aim for: later responses are worth less to the caller. Zero if the route has none. */
    core::Duration latencyObjective{};
    /** 0 to 9; requests of lower importance are shed first. */
    unsigned importance = 0;
    /** Whether requests need no key of a workspace. */
    bool isPublic = false;

    bool operator==(const Route &) const = default;
};

/** What an entry host does when it can no longer confirm that its configuration is current. */
enum class WhenStale : std::uint8_t {
    /** Refuses requests, and reports them as not executed. */
    Refuse,
    /** Continues with the last known configuration, but sends no requests to cold targets. */
    Serve,
};

inline constexpr std::array WhenStaleNames{
    core::EnumName<WhenStale>{WhenStale::Refuse, "refuse"},
    core::EnumName<WhenStale>{WhenStale::Serve, "serve"},
};

/** One of the control hosts. */
struct ControlHost {
    core::HostId id;
    /** IP:PORT at which the other hosts reach it. */
    std::string address;

    bool operator==(const ControlHost &) const = default;
};

/** Limits that apply to the whole system. */
struct Limits {
    /** How long an entry host may act on its configuration after it was last confirmed to be current. */
    core::Duration permission = std::chrono::seconds(3);
    /** How long a target counts as present after its last renewal. */
    core::Duration targetLease = std::chrono::seconds(6);
    /** How long callers may cache a list of addresses. */
    core::Duration addressLifetime = std::chrono::seconds(5);
    /** Addresses in one list for a caller. */
    unsigned addressCount = 3;
    /** How long the system remembers that a request key was used. */
    core::Duration requestKeyRetention = std::chrono::hours(24);
    /** Request keys remembered at the same time, shared between institutions by weight. */
    std::uint64_t requestKeyCapacity = 200000;
    WhenStale whenStale = WhenStale::Refuse;
    /** For requests that need a key, where whenStale is Serve: keys may have been taken away meanwhile. */
    WhenStale keysWhenStale = WhenStale::Serve;

    bool operator==(const Limits &) const = default;
};

/** The contents of one operator's file. */
struct Configuration {
    /** The version that this file replaces. */
    std::uint64_t replaces = 0;
    /** The version of this file, if it states one; otherwise it gets the next number after the version in force. */
    std::optional<std::uint64_t> version;
    std::vector<Institution> institutions;
    /** If there are none, requests need no key. */
    std::vector<Workspace> workspaces;
    std::vector<core::FailureDomain> failureDomains;
    std::vector<Service> services;
    /** Includes a route for every service with a path prefix, under the name of the service. */
    std::vector<Route> routes;
    std::vector<ControlHost> controlHosts;
    Limits limits;

    bool operator==(const Configuration &) const = default;
};

/** Returns the route that matches @p hostName and has the longest prefix of @p path, or nullptr. */
const Route *findRoute(const Configuration &configuration, std::string_view hostName, std::string_view path);

/** Returns the host names of the routes to @p service, each once; an empty one for routes that match any. */
std::set<std::string> hostNamesOf(const Configuration &configuration, const core::ServiceName &service);

/** Returns the shortest latency objective of the routes to @p service; zero if none has one. */
core::Duration shortestLatencyObjective(const Configuration &configuration, const core::ServiceName &service);

/** Returns the longest deadline of the services and routes. */
core::Duration longestDeadline(const Configuration &configuration);

/** Returns the route for the path prefix of @p service, with the service's name, deadline and importance; public if it
 * is. */
Route routeForService(const Service &service);

/** Returns the service called @p name, or nullptr. */
const Service *findService(const Configuration &configuration, const core::ServiceName &name);

/** Whether requests of @p route to @p service with @p method may be executed more than once. */
bool isIdempotent(const Route &route, const Service &service, std::string_view method);

} // namespace pimentoshed::configuration
