#include "entry/callerhttphandler.h"

#include "core/log.h"
#include "http/jsonreply.h"
#include "http/loadprobe.h"
#include "http/relay.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace pimentoshed::entry
{

using boost::beast::http::status;
using core::ErrorCode;
using requests::RunState;

namespace
{

constexpr std::string_view AddressesPath = "/pimentoshed/v1/addresses";

/**
 * Lower bound of Retry-After in refusals: about the usual time of a response. Jitter of up to the same length is added,
 * so that refused callers don't all return at once.
 */
constexpr core::Duration MinRetryAfter = std::chrono::milliseconds(40);
/**
 * Lower bound of Retry-After while this host has no current configuration: when all control hosts restart together,
 * they agree on one within 500 ms.
 */
constexpr core::Duration NotCurrentRetryAfter = std::chrono::milliseconds(250);
/**
 * Retry-After in multiples of the usual processing time. A queue that made a request miss its objective has drained
 * after that time.
 */
constexpr int RetryAfterResponseTimes = 2;
/**
 * Limit on the targets tried for one request. A failed connection proves that the request did not run, so the attempt
 * limit of the route doesn't count it; this limit does.
 */
constexpr std::size_t MaxTriedTargets = 6;
/**
 * Divisor of a request's slack (objective minus usual processing time): this part of it is spent waiting for local
 * targets before remote ones are considered.
 */
constexpr int LocalWaitDivisor = 3;
/**
 * Divisor of the time that a late request has left: for this part of it, the request takes only idle targets, so that
 * requests that can still meet their objective go first on every host.
 */
constexpr int LatePatienceDivisor = 3;
/** Pause between two attempts of a late request to find an idle target, at least; else half the processing time. */
constexpr core::Duration MinLatePause = std::chrono::milliseconds(30);
/**
 * How long a request may wait for this host's first configuration, and the divisor of the caller's timeout that limits
 * it further. Hosts that start together are configured within some 400 ms.
 */
constexpr core::Duration MaxStartWait = std::chrono::milliseconds(500);
constexpr int StartWaitDivisor = 4;
constexpr core::Duration StartWaitStep = std::chrono::milliseconds(10);
/** Pause of a request whose service was removed while another configuration is being adopted. */
constexpr core::Duration AdoptionPause = std::chrono::milliseconds(5);
/** How long a request body may take to arrive before a target is chosen. */
constexpr core::Duration BodyTimeout = std::chrono::seconds(10);

routing::AttemptOutcome attemptOutcome(const http::RelayResult &result)
{
    if (result.stage == requests::AttemptStage::NotConnected && result.outcome.failure
        && result.outcome.failure->code == ErrorCode::TargetFailed) {
        return routing::AttemptOutcome::Unreachable;
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

/** Serves the callers of one entry host. */
class CallerHttpHandler
{
public:
    explicit CallerHttpHandler(CallerHandlerDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        if (!awaitConfiguration(exchange)) {
            exchange.closeAfterwards();
            return;
        }
        const auto active = m_dependencies.view.current(m_dependencies.timers.now());
        if (!core::ok(active)) {
            core::log(core::LogLevel::Info,
                      "request-refused",
                      {{"request", m_dependencies.protocolHooks.requestId(exchange)},
                       {"run", core::nameOf(requests::RunStateNames, RunState::NotRun)},
                       {"error", describe(core::error(active))}});
            refuse(exchange, {RunState::NotRun, core::error(active)});
            m_dependencies.onRequestEnd({{}, core::error(active).code, {}, {}});
            return;
        }
        if (exchange.path() == AddressesPath) {
            exchange.send(addresses(exchange, *core::value(active)));
            return;
        }
        telemetry::CompletedRequest completed;
        const auto started = m_dependencies.timers.now();
        serve(exchange, core::value(active), completed);
        completed.duration = m_dependencies.timers.now() - started;
        m_dependencies.onRequestEnd(completed);
    }

private:
    /** Which of the targets with capacity a request may take. */
    enum class AcceptableTargets : std::uint8_t {
        Any,
        Idle,
    };

    using ConfigurationRef = std::shared_ptr<const changes::ActiveConfiguration>;

    /** A request in progress. */
    struct ActiveRequest {
        http::Exchange &exchange;
        /** The configuration that the request follows, and its route and service there. */
        ConfigurationRef active{};
        const configuration::Route *route = nullptr;
        const configuration::Service *service = nullptr;
        /** The request's row in the table of requests in progress; none until its deadline is known. */
        requests::RequestsInProgress::Row *row = nullptr;
        http::RelayOptions relayOptions{};
        core::TimePoint arrival{};
        /** When the caller began to wait, earlier attempts of the caller included. */
        core::TimePoint waitStart{};
        /** Time spent so far to find targets with capacity. */
        core::Duration assignmentTime{};
        /** Targets that were probed for the latest attempt, and those that responded. */
        std::size_t probedTargets = 0;
        std::size_t respondingTargets = 0;
        /** Whether as many targets as necessary were probed once. Later attempts of a waiting request probe a few. */
        bool hasSurveyed = false;
        /** Targets already tried, those included to which no connection could be made. */
        std::vector<core::TargetId> triedTargets{};
        /** Number of attempts that sent the complete head of the request. */
        unsigned attemptsSent = 0;
        requests::RequestOutcome outcome{};
    };

    /**
     * On a host that has just started, lets a request wait for the first configuration: refused, it would come back
     * later than that. Returns whether the caller is still connected.
     */
    bool awaitConfiguration(http::Exchange &exchange) const
    {
        if (m_dependencies.view.latest()) {
            return true;
        }
        const auto timeout = m_dependencies.protocolHooks.callerTimeout(exchange);
        const auto share =
            core::ok(timeout) && core::value(timeout) ? *core::value(timeout) / StartWaitDivisor : MaxStartWait;
        const auto end = m_dependencies.timers.now() + std::min(MaxStartWait, share);
        while (!m_dependencies.view.latest() && m_dependencies.timers.now() < end) {
            if (!waitFor(exchange, StartWaitStep)) {
                return false;
            }
        }
        return true;
    }

    http::Reply addresses(const http::Exchange &exchange, const changes::ActiveConfiguration &active) const
    {
        const auto &limits = active.configuration->limits;
        const core::FailureDomain preferred{std::string(exchange.queryValue("failure_domain"))};
        const auto chosen = membership::chooseAddresses(knownHosts(m_dependencies.view, m_dependencies.self()),
                                                        domainsOutOfService(active),
                                                        preferred,
                                                        limits.addressCount,
                                                        m_dependencies.random);
        const auto lifetimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(limits.addressLifetime).count();
        return http::jsonReply(status::ok, {{"keep_ms", lifetimeMs}, {"addresses", chosen}});
    }

    void serve(http::Exchange &exchange, const ConfigurationRef &active, telemetry::CompletedRequest &completed) const
    {
        const auto failed = [&](core::Error error) {
            completed.failure = error.code;
            refuse(exchange, {RunState::NotRun, std::move(error)});
        };
        ActiveRequest request{exchange};
        request.arrival = m_dependencies.timers.now();
        const auto found = follow(request, active);
        if (request.service != nullptr) {
            completed.service = request.service->name.str();
        }
        if (!core::ok(found)) {
            failed(core::error(found));
            return;
        }
        const auto deadline = deadlineOf(exchange, *request.route);
        if (!core::ok(deadline)) {
            failed(core::error(deadline));
            return;
        }
        requests::RequestsInProgress::Row row(m_dependencies.requestsInProgress,
                                              {.id = m_dependencies.protocolHooks.requestId(exchange),
                                               .arrival = request.arrival,
                                               .deadline = core::value(deadline),
                                               .phase = requests::RequestPhase::Assignment,
                                               .phaseStart = request.arrival,
                                               .target = {},
                                               .service = request.service->name});
        request.row = &row;
        if (const auto body = prefetchBody(exchange, core::value(deadline)); !core::ok(body)) {
            exchange.closeAfterwards();
            failed(core::error(body));
            return;
        }
        request.waitStart = waitStartOf(*request.route, core::value(deadline));
        request.relayOptions.deadline = core::value(deadline);
        request.relayOptions.answerBufferBytes = m_dependencies.options.answerBufferBytes;
        request.relayOptions.protocolHooks = &m_dependencies.protocolHooks;
        runAttempts(request, completed);
    }

    /**
     * Makes @p request follow the configuration @p active: finds its route there, and picks a service unless the route
     * still leads to the one it has. Errors: NoSuchService, RequestKeyMissing.
     */
    core::Status follow(ActiveRequest &request, const ConfigurationRef &active) const
    {
        const auto &configuration = *active->configuration;
        const auto &exchange = request.exchange;
        const auto *route = configuration::findRoute(configuration, hostName(exchange), exchange.path());
        if (route == nullptr) {
            return core::Error{ErrorCode::NoSuchService, std::string(exchange.path())};
        }
        const bool keepsService = request.service != nullptr && leadsTo(*route, request.service->name);
        const auto *service =
            configuration::findService(configuration, keepsService ? request.service->name : chooseService(*route));
        if (service == nullptr) {
            return core::Error{ErrorCode::NoSuchService, std::string(exchange.path())};
        }
        const bool idempotent = configuration::isIdempotent(*route, *service, exchange.method());
        request.active = active;
        request.route = route;
        request.service = service;
        request.relayOptions.maxRequestBytes = service->maxRequestBytes;
        request.relayOptions.shedIsNotRun = service->shedIsNotRun;
        request.relayOptions.idempotent = idempotent;
        const bool needsRequestKey = route->idempotency == configuration::Idempotency::ByMethod;
        if (needsRequestKey && !idempotent && exchange.header(service->requestKeyHeader).empty()) {
            return core::Error{ErrorCode::RequestKeyMissing, service->requestKeyHeader};
        }
        return std::monostate{};
    }

    static bool leadsTo(const configuration::Route &route, const core::ServiceName &service)
    {
        return std::any_of(route.shares.begin(), route.shares.end(), [&service](const auto &share) {
            return share.service == service && share.weight > 0;
        });
    }

    /** The request's Host header without a port. */
    static std::string_view hostName(const http::Exchange &exchange)
    {
        const auto host = exchange.header("Host");
        return host.substr(0, host.find(':'));
    }

    /** Picks one of the route's services at random, in proportion to their weights. */
    core::ServiceName chooseService(const configuration::Route &route) const
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

    core::Result<core::TimePoint> deadlineOf(const http::Exchange &exchange, const configuration::Route &route) const
    {
        const auto timeout = m_dependencies.protocolHooks.callerTimeout(exchange);
        if (!core::ok(timeout)) {
            return core::error(timeout);
        }
        return m_dependencies.timers.now() + std::min(route.deadline, core::value(timeout).value_or(route.deadline));
    }

    /**
     * When the caller began to wait. A caller that gives less time than the route's deadline is taken to have spent the
     * difference on earlier attempts, so that its retry isn't treated like a new request.
     */
    static core::TimePoint waitStartOf(const configuration::Route &route, core::TimePoint deadline)
    {
        return deadline - route.deadline;
    }

    /**
     * Reads a small body, or the start of a long one, before a target is chosen, so that a slow caller doesn't occupy
     * one, and one that leaves while its request waits is noticed.
     */
    core::Status prefetchBody(http::Exchange &exchange, core::TimePoint deadline) const
    {
        if (!exchange.body().present()) {
            return std::monostate{};
        }
        const auto timeout = std::min<core::Duration>(BodyTimeout, deadline - m_dependencies.timers.now());
        exchange.sendContinue();
        exchange.stream().expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
        auto received = exchange.body().prefetch(exchange.yield());
        exchange.stream().expires_never();
        if (!core::ok(received) && m_dependencies.timers.now() >= deadline) {
            return core::Error{ErrorCode::CallerTooSlow, "request body not received before the deadline"};
        }
        return received;
    }

    /** Makes attempts until one of them answers the caller or no further one is allowed. */
    void runAttempts(ActiveRequest &request, telemetry::CompletedRequest &completed) const
    {
        m_dependencies.onFirstAttempt(*request.service);
        while (true) {
            std::unique_ptr<http::TargetConnection> connection;
            const auto assignmentStart = m_dependencies.timers.now();
            const auto assignment = assignOrWait(request, connection);
            completed.service = request.service->name.str();
            request.assignmentTime += m_dependencies.timers.now() - assignmentStart;
            if (!core::ok(assignment)) {
                if (core::error(assignment).code == ErrorCode::CallerTooSlow) {
                    request.exchange.closeAfterwards();
                    completed.failure = ErrorCode::CallerTooSlow;
                    return;
                }
                completed.failure = core::error(assignment).code;
                if (request.attemptsSent == 0) {
                    request.outcome = {RunState::NotRun, core::error(assignment)};
                }
                logRefusal(request);
                refuse(request.exchange, request.outcome, &request.service->name);
                return;
            }
            const auto result = attempt(request, core::value(assignment), std::move(connection));
            completed.targetWait = result.headWaitTime;
            if (!result.outcome.failure) {
                completed.failure.reset();
                logIfLate(request, core::value(assignment), result);
                return;
            }
            recordFailure(request, core::value(assignment).target->id, result);
            completed.failure = request.outcome.failure->code;
            if (!canResend(result) || request.triedTargets.size() >= MaxTriedTargets || !mayRetry(request)) {
                refuseOrClose(request, result);
                return;
            }
            request.exchange.body().rewind();
        }
    }

    /** Records the result of a failed attempt at target @p id. */
    static void recordFailure(ActiveRequest &request, const core::TargetId &id, const http::RelayResult &result)
    {
        request.triedTargets.push_back(id);
        const auto earlier = request.attemptsSent == 0 ? RunState::NotRun : request.outcome.run;
        request.outcome = {requests::combineRunStates(earlier, result.outcome.run), result.outcome.failure};
        if (result.stage >= requests::AttemptStage::HeadSent) {
            ++request.attemptsSent;
        }
    }

    requests::FailedAttempt latestAttempt(const ActiveRequest &request) const
    {
        return {*request.service,
                request.relayOptions.idempotent,
                request.outcome.run,
                request.attemptsSent,
                request.route->maxAttempts,
                request.relayOptions.deadline - m_dependencies.timers.now()};
    }

    bool mayRetry(const ActiveRequest &request) const
    {
        const auto failed = latestAttempt(request);
        // If no target has received the request, another attempt isn't a retry for them: no retry budget is used.
        return request.attemptsSent == 0 ? requests::canRetry(failed) : m_dependencies.mayRetry(failed);
    }

    http::RelayResult attempt(ActiveRequest &request,
                              const routing::Assignment &assignment,
                              std::unique_ptr<http::TargetConnection> connection) const
    {
        auto &options = request.relayOptions;
        options.address = assignment.target->address;
        options.target = assignment.target->id;
        options.passServerErrors =
            !request.relayOptions.idempotent || request.attemptsSent + 1 >= request.route->maxAttempts;
        const auto started = m_dependencies.timers.now();
        request.row->sendTo(assignment.target->id, request.service->name, started);
        auto result = connection
                          ? http::relayOn(std::move(connection), request.exchange, m_dependencies.connections, options)
                          : http::relay(request.exchange, m_dependencies.connections, options);
        const auto ended = m_dependencies.timers.now();
        request.row->awaitAssignment(ended);
        m_dependencies.router.release(assignment, {attemptOutcome(result), ended - started, result.signals}, ended);
        m_dependencies.scheduler.notifyCapacity(request.service->name);
        if (result.outcome.failure) {
            logFailure(request, *assignment.target, result);
        }
        return result;
    }

    /**
     * Assigns a target to @p request, at once or after it has waited, by the configuration that is current then. Error
     * CallerTooSlow if the caller has closed its connection meanwhile.
     */
    core::Result<routing::Assignment> assignOrWait(ActiveRequest &request,
                                                   std::unique_ptr<http::TargetConnection> &connection) const
    {
        while (true) {
            const auto now = m_dependencies.timers.now();
            const auto active = m_dependencies.view.current(now);
            if (!core::ok(active)) {
                return core::error(active);
            }
            if (core::value(active)->revision != request.active->revision) {
                if (const auto followed = follow(request, core::value(active)); !core::ok(followed)) {
                    return core::error(followed);
                }
                // The route may now allow fewer attempts, or none after one that may have run.
                if (request.attemptsSent > 0 && !requests::canRetry(latestAttempt(request))) {
                    return *request.outcome.failure;
                }
            }
            auto assignment = assignInService(request, connection);
            const bool isServiceGone =
                !core::ok(assignment) && core::error(assignment).code == ErrorCode::NoSuchService;
            if (!isServiceGone) {
                return assignment;
            }
            if (m_dependencies.view.revision() != request.active->revision) {
                continue;
            }
            // The request's configuration has the service, so another one is being adopted.
            if (now + AdoptionPause >= request.relayOptions.deadline) {
                return core::Error{ErrorCode::DeadlinePassed, "the service was removed from the configuration"};
            }
            if (!waitFor(request.exchange, AdoptionPause)) {
                return core::Error{ErrorCode::CallerTooSlow, {}};
            }
        }
    }

    /**
     * Assigns one of the targets of the request's service. Error NoSuchService if this host no longer has the service,
     * or if the configuration has changed.
     */
    core::Result<routing::Assignment> assignInService(ActiveRequest &request,
                                                      std::unique_ptr<http::TargetConnection> &connection) const
    {
        const auto &service = request.service->name;
        if (isLate(request, m_dependencies.router.usualProcessingTime(service), m_dependencies.timers.now())) {
            return assignLate(request, connection);
        }
        if (m_dependencies.scheduler.waitingCount(service) == 0) {
            auto assignment = assign(request, connection);
            if (core::ok(assignment) || core::error(assignment).code != ErrorCode::NoTarget) {
                return assignment;
            }
        }
        if (const auto stop = checkStop(request); !core::ok(stop)) {
            return core::error(stop);
        }
        const auto processingTime = m_dependencies.router.usualProcessingTime(service);
        const auto pausedUntil = m_dependencies.router.pausedUntil(service, m_dependencies.timers.now());
        if (pausedUntil && *pausedUntil + processingTime > queueDeadline(request, processingTime)) {
            return core::Error{ErrorCode::NoTarget, "no target takes requests before the deadline"};
        }
        auto scheduled = m_dependencies.scheduler.wait(
            request.exchange, service, queueDeadline(request, processingTime), processingTime);
        while (core::ok(scheduled)) {
            auto assignment = request.exchange.hasCallerLeft()
                                  ? core::Result<routing::Assignment>(core::Error{ErrorCode::CallerTooSlow, {}})
                                  : assign(request, connection);
            if (core::ok(assignment) || core::error(assignment).code != ErrorCode::NoTarget) {
                m_dependencies.scheduler.complete(core::value(scheduled));
                return assignment;
            }
            scheduled = m_dependencies.scheduler.requeue(request.exchange, core::value(scheduled));
        }
        return core::error(scheduled);
    }

    /**
     * Assigns a target to a request that can't meet its objective any more: an idle one while it has time, then any
     * with capacity. Such a request isn't queued.
     */
    core::Result<routing::Assignment> assignLate(ActiveRequest &request,
                                                 std::unique_ptr<http::TargetConnection> &connection) const
    {
        const auto &service = request.service->name;
        const auto started = m_dependencies.timers.now();
        const auto patienceEnd = started + (request.relayOptions.deadline - started) / LatePatienceDivisor;
        const auto pausedUntil = m_dependencies.router.pausedUntil(service, started);
        if (pausedUntil && *pausedUntil > patienceEnd) {
            return core::Error{ErrorCode::NoTarget, "no target takes requests for long"};
        }
        const auto pause = std::max(MinLatePause, m_dependencies.router.usualProcessingTime(service) / 2);
        bool hasPatience = true;
        while (hasPatience) {
            if (const auto stop = checkStop(request); !core::ok(stop)) {
                return core::error(stop);
            }
            hasPatience = m_dependencies.timers.now() + pause <= patienceEnd;
            if (m_dependencies.scheduler.waitingCount(service) == 0 || !hasPatience) {
                auto assignment =
                    assign(request, connection, hasPatience ? AcceptableTargets::Idle : AcceptableTargets::Any);
                if (core::ok(assignment) || core::error(assignment).code != ErrorCode::NoTarget) {
                    return assignment;
                }
            }
            if (hasPatience && !waitFor(request.exchange, pause)) {
                return core::Error{ErrorCode::CallerTooSlow, {}};
            }
        }
        return core::Error{ErrorCode::NoTarget,
                           "no target has capacity, and the request can no longer meet its objective"};
    }

    /** Error Stopping if this host is stopping and might end before @p request does. */
    core::Status checkStop(const ActiveRequest &request) const
    {
        const auto stop = m_dependencies.hostStop();
        if (!stop) {
            return std::monostate{};
        }
        const requests::SendDuringStop send{request.relayOptions.idempotent,
                                            request.arrival,
                                            m_dependencies.timers.now(),
                                            request.relayOptions.deadline,
                                            m_dependencies.router.usualProcessingTime(request.service->name)};
        if (requests::canEndBefore(*stop, send)) {
            return std::monostate{};
        }
        return core::Error{ErrorCode::Stopping, "this host may end before the request does"};
    }

    /** Lets @p duration pass. Returns whether the caller is still connected. */
    static bool waitFor(http::Exchange &exchange, core::Duration duration)
    {
        boost::asio::steady_timer timer(exchange.stream().get_executor(),
                                        std::chrono::duration_cast<boost::asio::steady_timer::duration>(duration));
        boost::system::error_code ignored;
        timer.async_wait(exchange.yield()[ignored]);
        return !exchange.hasCallerLeft();
    }

    /**
     * The time left for a response to @p request: until its objective, or until its deadline if the route has no
     * objective or the objective can't be met any more.
     */
    static core::Duration timeLeft(const ActiveRequest &request, core::Duration processingTime, core::TimePoint now)
    {
        const bool late = isLate(request, processingTime, now);
        const bool useObjective = request.route->latencyObjective > core::Duration{} && !late;
        return std::max(useObjective ? request.waitStart + request.route->latencyObjective - now
                                     : request.relayOptions.deadline - now,
                        core::Duration{1});
    }

    /**
     * Whether @p request may go to another failure domain: only after it has waited for local targets for a part of its
     * slack (see LocalWaitDivisor), because their load changes within a fraction of that time.
     */
    static bool mayUseRemoteDomains(const ActiveRequest &request, core::Duration processingTime, core::TimePoint now)
    {
        if (!isObjectiveReachable(request, processingTime)) {
            return true;
        }
        return now - request.waitStart >= (request.route->latencyObjective - processingTime) / LocalWaitDivisor;
    }

    /** Whether @p request could meet its objective in a processing time of @p processingTime if it never waited. */
    static bool isObjectiveReachable(const ActiveRequest &request, core::Duration processingTime)
    {
        return request.route->latencyObjective > core::Duration{} && processingTime < request.route->latencyObjective;
    }

    /** Whether @p request can't meet its objective any more. */
    static bool isLate(const ActiveRequest &request, core::Duration processingTime, core::TimePoint now)
    {
        return isObjectiveReachable(request, processingTime)
               && now + processingTime > request.waitStart + request.route->latencyObjective;
    }

    /**
     * The time by which @p request should be answered; once that can't be met, the request leaves the queue. It is the
     * objective if a response without waiting could meet it, else the deadline.
     */
    static core::TimePoint queueDeadline(const ActiveRequest &request, core::Duration processingTime)
    {
        return isObjectiveReachable(request, processingTime)
                   ? std::min(request.relayOptions.deadline, request.waitStart + request.route->latencyObjective)
                   : request.relayOptions.deadline;
    }

    /**
     * Assigns one of the service's current targets to @p request, except those already tried. If the target was probed,
     * @p connection is set to the probe's connection; the connections of other probes go back to the pool.
     */
    core::Result<routing::Assignment> assign(ActiveRequest &request,
                                             std::unique_ptr<http::TargetConnection> &connection,
                                             AcceptableTargets acceptable = AcceptableTargets::Any) const
    {
        const auto now = m_dependencies.timers.now();
        if (const auto active = m_dependencies.view.current(now); !core::ok(active)) {
            return core::error(active);
        } else if (core::value(active)->revision != request.active->revision) {
            return core::Error{ErrorCode::NoSuchService, "the configuration has changed"};
        }
        const auto processingTime = m_dependencies.router.usualProcessingTime(request.service->name);
        if (const auto stop = checkStop(request); !core::ok(stop)) {
            return core::error(stop);
        }
        routing::AssignOptions options;
        options.excludedTargets = request.triedTargets;
        options.objective = timeLeft(request, processingTime, now);
        options.localOnly = !mayUseRemoteDomains(request, processingTime, now);
        options.idleOnly = acceptable == AcceptableTargets::Idle;
        options.probationNeedsReport = probesTargets(*request.service);
        auto probed = probeTargets(request, options);
        // Only targets that answered a probe are eligible: the load that the others last reported may be out of date.
        const auto responding = respondingTargets(probed);
        options.allowedTargets = responding;
        request.probedTargets = probed.size();
        request.respondingTargets = responding.size();
        request.hasSurveyed = true;
        auto assignment = m_dependencies.router.assign(request.service->name, m_dependencies.timers.now(), options);
        for (auto &each : probed) {
            if (!each.probe.connection) {
                continue;
            }
            if (core::ok(assignment) && core::value(assignment).target->id == each.target->id) {
                connection = std::move(each.probe.connection);
            } else {
                m_dependencies.connections.give(
                    each.target->address, std::move(each.probe.connection), m_dependencies.timers.now());
            }
        }
        return assignment;
    }

    bool probesTargets(const configuration::Service &service) const
    {
        return m_dependencies.options.probesPerRound > 0 && !service.healthPath.empty();
    }

    /** A probed target and the result of its probe. */
    struct ProbedTarget {
        std::shared_ptr<const targets::Target> target;
        http::LoadProbeResult probe;
    };

    static std::vector<core::TargetId> respondingTargets(const std::vector<ProbedTarget> &probed)
    {
        std::vector<core::TargetId> responding;
        for (const auto &each : probed) {
            if (each.probe.signals) {
                responding.push_back(each.target->id);
            }
        }
        return responding;
    }

    /**
     * Probes the most promising targets for their load until one of them has capacity: an idle one is taken at once,
     * otherwise the best of one round. Local targets are probed first, all of them if necessary, because a local probe
     * costs little compared with sending the request to another failure domain. Returns all probed targets.
     */
    std::vector<ProbedTarget> probeTargets(const ActiveRequest &request, const routing::AssignOptions &options) const
    {
        std::vector<ProbedTarget> probed;
        if (!probesTargets(*request.service)) {
            return probed;
        }
        std::vector<core::TargetId> excluded(options.excludedTargets.begin(), options.excludedTargets.end());
        auto probeOptions = options;
        probeOptions.localOnly = true;
        probeOptions.idleOnly = false;
        while (!hasAssignableTarget(request, options, probed)) {
            const bool probesFew = options.idleOnly || request.hasSurveyed;
            if (probesFew && probed.size() > m_dependencies.options.probesPerRound) {
                break;
            }
            probeOptions.excludedTargets = excluded;
            // A probe across failure domains is expensive, so remote targets are probed one at a time.
            const bool single = probed.empty() || !probeOptions.localOnly;
            auto round = probe(request, probeOptions, single ? 1 : m_dependencies.options.probesPerRound);
            if (round.empty() && (options.localOnly || !probeOptions.localOnly)) {
                break;
            }
            probeOptions.localOnly = probeOptions.localOnly && !round.empty();
            for (auto &each : round) {
                excluded.push_back(each.target->id);
                probed.push_back(std::move(each));
            }
        }
        return probed;
    }

    /**
     * Whether a target that answered its probe can be assigned the request. Until one round's number of targets has
     * been probed, only an idle target counts.
     */
    bool hasAssignableTarget(const ActiveRequest &request,
                             const routing::AssignOptions &options,
                             const std::vector<ProbedTarget> &probed) const
    {
        const auto responding = respondingTargets(probed);
        auto respondingOnly = options;
        respondingOnly.allowedTargets = responding;
        respondingOnly.idleOnly = options.idleOnly || probed.size() < m_dependencies.options.probesPerRound;
        return !responding.empty()
               && !m_dependencies.router
                       .shortlist(request.service->name, m_dependencies.timers.now(), respondingOnly, 1)
                       .empty();
    }

    core::Duration probeTimeout(const configuration::Route &route) const
    {
        const auto &options = m_dependencies.options;
        return std::clamp(
            route.latencyObjective / options.probeTimeoutDivisor, options.minProbeTimeout, options.maxProbeTimeout);
    }

    /** Probes up to @p count targets and passes their load, or the lack of a response, to the router. */
    std::vector<ProbedTarget> probe(const ActiveRequest &request,
                                    const routing::AssignOptions &options,
                                    std::size_t count) const
    {
        const auto chosen =
            m_dependencies.router.shortlist(request.service->name, m_dependencies.timers.now(), options, count);
        if (chosen.empty()) {
            return {};
        }
        std::vector<http::LoadProbeTarget> endpoints;
        endpoints.reserve(chosen.size());
        for (const auto &target : chosen) {
            endpoints.push_back({target->id, target->address});
        }
        const auto sent = m_dependencies.timers.now();
        auto results =
            http::probeLoad(request.exchange,
                            m_dependencies.connections,
                            endpoints,
                            {request.service->healthPath, probeTimeout(*request.route), m_dependencies.protocolHooks});
        const auto now = m_dependencies.timers.now();
        std::vector<ProbedTarget> probed;
        probed.reserve(chosen.size());
        for (std::size_t position = 0; position < chosen.size(); ++position) {
            if (results[position].signals) {
                m_dependencies.router.recordSignals(*chosen[position], *results[position].signals, sent, now);
            } else {
                m_dependencies.router.recordFailedProbe(*chosen[position], results[position].failed, now);
            }
            probed.push_back({chosen[position], std::move(results[position])});
        }
        return probed;
    }

    static bool canResend(const http::RelayResult &result)
    {
        const auto code = result.outcome.failure->code;
        return !result.sentToCaller && !result.bodyConsumed && !result.callerLeft
               && (code == ErrorCode::TargetFailed || code == ErrorCode::AnswerTruncated);
    }

    void logFailure(const ActiveRequest &request, const targets::Target &target, const http::RelayResult &result) const
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
                   {"error", describe(*result.outcome.failure)}});
    }

    /** Logs a request that was answered after its objective, with where its time went. */
    void logIfLate(const ActiveRequest &request,
                   const routing::Assignment &assignment,
                   const http::RelayResult &result) const
    {
        const auto now = m_dependencies.timers.now();
        const auto objective = request.route->latencyObjective;
        if (objective == core::Duration{} || now <= request.waitStart + objective) {
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
                   {"before_arrival_ms", milliseconds(request.arrival - request.waitStart)},
                   {"assignment_ms", milliseconds(request.assignmentTime)},
                   {"target_ms", milliseconds(result.headWaitTime)},
                   {"total_ms", milliseconds(now - request.arrival)},
                   {"usual_ms", milliseconds(m_dependencies.router.usualProcessingTime(request.service->name))},
                   {"attempts", static_cast<std::uint64_t>(request.triedTargets.size() + 1)}});
    }

    void logRefusal(const ActiveRequest &request) const
    {
        core::log(core::LogLevel::Info,
                  "request-refused",
                  {{"request", m_dependencies.protocolHooks.requestId(request.exchange)},
                   {"service", request.service->name.str()},
                   {"run", core::nameOf(requests::RunStateNames, request.outcome.run)},
                   {"tried", static_cast<std::uint64_t>(request.triedTargets.size())},
                   {"error", describe(*request.outcome.failure)}});
    }

    void refuseOrClose(const ActiveRequest &request, const http::RelayResult &result) const
    {
        if (result.sentToCaller || result.callerLeft) {
            request.exchange.closeAfterwards();
            return;
        }
        refuse(request.exchange, request.outcome, &request.service->name);
    }

    /**
     * Sends a refusal of a request to @p service, if it is known. Ran is sent as Unknown: it means that a target sent a
     * complete response, which this caller did not get, and a refusal can't say so.
     */
    void refuse(http::Exchange &exchange,
                requests::RequestOutcome outcome,
                const core::ServiceName *service = nullptr) const
    {
        if (outcome.run == RunState::Ran) {
            outcome.run = RunState::Unknown;
        }
        std::optional<core::Duration> retryAfter;
        if (outcome.run == RunState::NotRun) {
            const auto code = outcome.failure->code;
            // Other hosts can take at once what this one refuses because it stops.
            const bool isForCapacity = service != nullptr && code != ErrorCode::Stopping;
            const auto base = code == ErrorCode::NotCurrent ? NotCurrentRetryAfter
                              : isForCapacity               ? expectedWait(*service)
                                                            : MinRetryAfter;
            const auto pause = isForCapacity ? remainingPause(*service) : core::Duration{};
            retryAfter = pause + base + base * core::randomBelow(m_dependencies.random, 100) / 100;
        }
        exchange.send(m_dependencies.protocolHooks.makeRefusal({std::move(outcome), retryAfter}));
    }

    /** How long a caller that was refused for lack of capacity should wait. */
    core::Duration expectedWait(const core::ServiceName &service) const
    {
        const auto processingTime = m_dependencies.router.usualProcessingTime(service);
        return std::max(MinRetryAfter, RetryAfterResponseTimes * processingTime);
    }

    /** How long all targets of @p service want no requests. */
    core::Duration remainingPause(const core::ServiceName &service) const
    {
        const auto now = m_dependencies.timers.now();
        return m_dependencies.router.pausedUntil(service, now).value_or(now) - now;
    }

    const CallerHandlerDependencies m_dependencies;
};

} // namespace

http::Handler makeCallerHttpHandler(CallerHandlerDependencies dependencies)
{
    const auto handler = std::make_shared<CallerHttpHandler>(std::move(dependencies));
    return [handler](http::Exchange &exchange) {
        handler->handle(exchange);
    };
}

} // namespace pimentoshed::entry
