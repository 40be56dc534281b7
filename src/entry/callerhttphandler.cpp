#include "entry/callerhttphandler.h"

#include "core/log.h"
#include "http/jsonreply.h"
#include "http/loadprobe.h"
#include "http/relay.h"

#include <algorithm>
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

/** A refused caller is to come back after about as long as an answer usually takes; spread, so that not all do at once.
 */
constexpr core::Duration LeastRetryAfter = std::chrono::milliseconds(40);
/** Where this host has no configuration yet: control hosts that all restart agree within half a second. */
constexpr core::Duration NotCurrentRetryAfter = std::chrono::milliseconds(250);
/** In usual times of work: so long a queue is gone that made a request wait past its objective. */
constexpr int RetryAfterWorks = 2;
/** Connections that can't be made prove that nothing ran; a request is given up after so many all the same. */
constexpr std::size_t MostTries = 6;
/** One of these parts of the time that a request can spare is spent on waiting for near targets. */
constexpr int SpareParts = 3;
constexpr core::Duration BodyPatience = std::chrono::seconds(10);

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

/** Serves one entry host's callers. */
class Front
{
public:
    explicit Front(CallerHandlerDependencies parts)
        : m_parts(std::move(parts))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        const auto standing = m_parts.view.current(m_parts.timers.now());
        if (!core::ok(standing)) {
            refuse(exchange, {RunState::NotRun, core::error(standing)});
            m_parts.ended({{}, core::error(standing).code, {}, {}});
            return;
        }
        if (exchange.path() == AddressesPath) {
            exchange.send(addresses(exchange, *core::value(standing)));
            return;
        }
        telemetry::CompletedRequest end;
        const auto started = m_parts.timers.now();
        serve(exchange, *core::value(standing), end);
        end.duration = m_parts.timers.now() - started;
        m_parts.ended(end);
    }

private:
    /** A request on its way. */
    struct Run {
        http::Exchange &exchange;
        const configuration::Route &route;
        const configuration::Service &service;
        http::RelayOptions terms;
        /** When its caller began to wait. */
        core::TimePoint started{};
        /** Targets that the request was sent to, or could not be. */
        std::vector<core::TargetId> tried;
        /** Of these, the ones that it reached. */
        unsigned reached = 0;
        requests::RequestOutcome known;
    };

    http::Reply addresses(const http::Exchange &exchange, const changes::ActiveConfiguration &standing) const
    {
        const auto &limits = standing.configuration->limits;
        const core::FailureDomain preferred{std::string(exchange.queryValue("failure_domain"))};
        const auto chosen = membership::chooseAddresses(knownHosts(m_parts.view, m_parts.self()),
                                                        outDomains(standing),
                                                        preferred,
                                                        limits.addressCount,
                                                        m_parts.random);
        const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(limits.addressLifetime).count();
        return http::jsonReply(status::ok, {{"keep_ms", keep}, {"addresses", chosen}});
    }

    void serve(http::Exchange &exchange,
               const changes::ActiveConfiguration &standing,
               telemetry::CompletedRequest &end) const
    {
        const auto failed = [&](core::Error error) {
            end.failure = error.code;
            refuse(exchange, {RunState::NotRun, std::move(error)});
        };
        const auto &configuration = *standing.configuration;
        const auto *route = configuration::findRoute(configuration, hostName(exchange), exchange.path());
        const auto *service =
            route == nullptr ? nullptr : configuration::findService(configuration, chooseShare(*route));
        if (service == nullptr) {
            failed({ErrorCode::NoSuchService, std::string(exchange.path())});
            return;
        }
        end.service = service->name.str();
        const bool keyed = route->idempotency == configuration::Idempotency::ByMethod;
        const bool idempotent = configuration::isIdempotent(*route, *service, exchange.method());
        if (keyed && !idempotent && exchange.header(service->requestKeyHeader).empty()) {
            failed({ErrorCode::RequestKeyMissing, service->requestKeyHeader});
            return;
        }
        const auto deadline = deadlineOf(exchange, *route);
        if (!core::ok(deadline)) {
            failed(core::error(deadline));
            return;
        }
        if (const auto body = takeBody(exchange, core::value(deadline)); !core::ok(body)) {
            exchange.closeAfterwards();
            failed(core::error(body));
            return;
        }
        Run run{exchange, *route, *service, {}, begunAt(*route, core::value(deadline)), {}, 0, {}};
        run.terms.deadline = core::value(deadline);
        run.terms.maxRequestBytes = service->maxRequestBytes;
        run.terms.shedIsNotRun = service->shedIsNotRun;
        run.terms.idempotent = idempotent;
        run.terms.answerBufferBytes = m_parts.terms.answerBufferBytes;
        run.terms.protocolHooks = &m_parts.marking;
        runAttempts(run, end);
    }

    /** The host that the request names, without a port. */
    static std::string_view hostName(const http::Exchange &exchange)
    {
        const auto host = exchange.header("Host");
        return host.substr(0, host.find(':'));
    }

    /** One of the route's services, each as often as its weight says. */
    core::ServiceName chooseShare(const configuration::Route &route) const
    {
        double total = 0;
        for (const auto &share : route.shares) {
            total += share.weight;
        }
        constexpr double Steps = 1U << 30U;
        double left = total * static_cast<double>(core::randomBelow(m_parts.random, 1U << 30U)) / Steps;
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
        const auto given = m_parts.marking.callerTimeout(exchange);
        if (!core::ok(given)) {
            return core::error(given);
        }
        return m_parts.timers.now() + std::min(route.deadline, core::value(given).value_or(route.deadline));
    }

    /**
     * When the caller began to wait: one that gives less time than its route has spent the rest on earlier attempts,
     * so that a repeat doesn't pass for a fresh request.
     */
    static core::TimePoint begunAt(const configuration::Route &route, core::TimePoint deadline)
    {
        return deadline - route.deadline;
    }

    /** Takes a small body before a target is chosen: a slow caller then holds none up. */
    core::Status takeBody(http::Exchange &exchange, core::TimePoint deadline) const
    {
        if (!exchange.body().present()) {
            return std::monostate{};
        }
        const auto patience = std::min<core::Duration>(BodyPatience, deadline - m_parts.timers.now());
        exchange.sendContinue();
        exchange.stream().expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(patience));
        auto taken = exchange.body().prefetch(exchange.yield());
        exchange.stream().expires_never();
        if (!core::ok(taken) && m_parts.timers.now() >= deadline) {
            return core::Error{ErrorCode::CallerTooSlow, "sending its request"};
        }
        return taken;
    }

    /** Attempts until one answers the caller or no further one is allowed. */
    void runAttempts(Run &run, telemetry::CompletedRequest &end) const
    {
        m_parts.firstAttempt(run.service);
        while (true) {
            std::unique_ptr<http::TargetConnection> connection;
            const auto assignment = place(run, connection);
            if (!core::ok(assignment)) {
                if (core::error(assignment).code == ErrorCode::CallerTooSlow) {
                    run.exchange.closeAfterwards();
                    end.failure = ErrorCode::CallerTooSlow;
                    return;
                }
                end.failure = core::error(assignment).code;
                if (run.reached == 0) {
                    run.known = {RunState::NotRun, core::error(assignment)};
                }
                logRefusal(run);
                refuse(run.exchange, run.known, m_parts.router.usualProcessingTime(run.service.name));
                return;
            }
            const auto result = attempt(run, core::value(assignment), std::move(connection));
            end.targetWait = result.headWaitTime;
            if (!result.outcome.failure) {
                end.failure.reset();
                return;
            }
            note(run, core::value(assignment).target->id, result);
            end.failure = run.known.failure->code;
            if (!canRepeat(result) || run.tried.size() >= MostTries || !mayRetry(run)) {
                finish(run, result);
                return;
            }
            run.exchange.body().rewind();
        }
    }

    /** Takes what a failed attempt at target @p id says. */
    static void note(Run &run, const core::TargetId &id, const http::RelayResult &result)
    {
        run.tried.push_back(id);
        run.known = run.reached == 0 ? result.outcome : together(run.known, result.outcome);
        if (result.stage >= requests::AttemptStage::HeadSent) {
            ++run.reached;
        }
    }

    bool mayRetry(const Run &run) const
    {
        const FailedAttempt failed{run.service,
                                   run.terms.idempotent,
                                   run.known.run,
                                   run.reached,
                                   run.route.maxAttempts,
                                   run.terms.deadline - m_parts.timers.now()};
        // What reached no target is no repeat there.
        return run.reached == 0 ? mayRunAgain(failed) : m_parts.mayRetry(failed);
    }

    http::RelayResult attempt(Run &run,
                              const routing::Assignment &assignment,
                              std::unique_ptr<http::TargetConnection> connection) const
    {
        auto &terms = run.terms;
        terms.address = assignment.target->address;
        terms.target = assignment.target->id;
        terms.passServerErrors = !run.terms.idempotent || run.reached + 1 >= run.route.maxAttempts;
        const auto started = m_parts.timers.now();
        auto result = connection ? http::relayOn(std::move(connection), run.exchange, m_parts.connections, terms)
                                 : http::relay(run.exchange, m_parts.connections, terms);
        const auto ended = m_parts.timers.now();
        m_parts.router.release(assignment, {attemptOutcome(result), ended - started, result.load}, ended);
        m_parts.waiting.roomIn(run.service.name);
        if (result.outcome.failure) {
            logFailure(run, *assignment.target, result);
        }
        return result;
    }

    /** Finds a target for @p run, now or once it is its turn. CallerTooSlow where its caller has gone meanwhile. */
    core::Result<routing::Assignment> place(const Run &run, std::unique_ptr<http::TargetConnection> &connection) const
    {
        const auto &service = run.service.name;
        if (m_parts.waiting.waiting(service) == 0) {
            auto assignment = assign(run, connection);
            if (core::ok(assignment) || core::error(assignment).code != ErrorCode::NoTarget) {
                return assignment;
            }
        }
        const auto usual = m_parts.router.usualProcessingTime(service);
        if (isLate(run, usual, m_parts.timers.now())) {
            return core::Error{ErrorCode::NoTarget, "no room for a request that is late already"};
        }
        auto turn = m_parts.waiting.wait(run.exchange, service, waitUntil(run, usual), usual);
        while (core::ok(turn)) {
            const bool gone =
                run.exchange.body().received() && run.exchange.readAvailable() == http::CallerConnectionState::Closed;
            auto assignment = gone ? core::Result<routing::Assignment>(core::Error{ErrorCode::CallerTooSlow, {}})
                                   : assign(run, connection);
            if (core::ok(assignment) || core::error(assignment).code != ErrorCode::NoTarget) {
                m_parts.waiting.taken(core::value(turn));
                return assignment;
            }
            turn = m_parts.waiting.waitAgain(run.exchange, core::value(turn));
        }
        return core::error(turn);
    }

    /** How long an answer to @p run may take: until its objective, or its deadline where that can't be met any more. */
    static core::Duration timeToSpend(const Run &run, core::Duration usual, core::TimePoint now)
    {
        const bool late = isLate(run, usual, now);
        const bool objective = run.route.latencyObjective > core::Duration{} && !late;
        return std::max(objective ? run.started + run.route.latencyObjective - now : run.terms.deadline - now,
                        core::Duration{1});
    }

    /**
     * Whether @p run may go to another failure domain: not before it has waited for near targets for a part of the time
     * that it can spare, as their load shifts within a fraction of that.
     */
    static bool mayCross(const Run &run, core::Duration usual, core::TimePoint now)
    {
        if (!isReachable(run, usual)) {
            return true;
        }
        return now - run.started >= (run.route.latencyObjective - usual) / SpareParts;
    }

    /** Whether work of @p usual time could meet the objective of @p run, were it done at once when it came. */
    static bool isReachable(const Run &run, core::Duration usual)
    {
        return run.route.latencyObjective > core::Duration{} && usual < run.route.latencyObjective;
    }

    /** Whether @p run can't meet its objective any more: what still can goes first, on every host. */
    static bool isLate(const Run &run, core::Duration usual, core::TimePoint now)
    {
        return isReachable(run, usual) && now + usual > run.started + run.route.latencyObjective;
    }

    /** When @p run should be answered at the latest to be worth a place in the line. */
    static core::TimePoint waitUntil(const Run &run, core::Duration usual)
    {
        return isReachable(run, usual) ? std::min(run.terms.deadline, run.started + run.route.latencyObjective)
                                       : run.terms.deadline;
    }

    /** Each attempt sees the present targets, but for those that have failed this request. */
    core::Result<routing::Assignment> assign(const Run &run, std::unique_ptr<http::TargetConnection> &connection) const
    {
        const auto now = m_parts.timers.now();
        if (const auto standing = m_parts.view.current(now); !core::ok(standing)) {
            return core::error(standing);
        }
        routing::AssignOptions terms;
        terms.excludedTargets = run.tried;
        const auto usual = m_parts.router.usualProcessingTime(run.service.name);
        terms.objective = timeToSpend(run, usual, now);
        terms.localOnly = !mayCross(run, usual, now);
        auto looked = lookAround(run, terms);
        // Of the others nothing is known at this moment: their load may have changed since they last told it.
        const auto told = thatTold(looked);
        terms.allowedTargets = told;
        auto assignment = m_parts.router.assign(run.service.name, m_parts.timers.now(), terms);
        for (auto &each : looked) {
            if (!each.look.connection) {
                continue;
            }
            if (core::ok(assignment) && core::value(assignment).target->id == each.target->id) {
                connection = std::move(each.look.connection);
            } else {
                m_parts.connections.give(each.target->address, std::move(each.look.connection), m_parts.timers.now());
            }
        }
        return assignment;
    }

    /** A target and what it said just now. */
    struct Looked {
        std::shared_ptr<const targets::Target> target;
        http::LoadProbeResult look;
    };

    static std::vector<core::TargetId> thatTold(const std::vector<Looked> &looked)
    {
        std::vector<core::TargetId> told;
        for (const auto &each : looked) {
            if (each.look.load) {
                told.push_back(each.target->id);
            }
        }
        return told;
    }

    /**
     * Asks the most promising targets for their load until one of them has room: one that turns out to be idle will do,
     * otherwise the best of some. The near ones first, all of them where need be, as asking one costs little against
     * the way to another failure domain.
     */
    std::vector<Looked> lookAround(const Run &run, const routing::AssignOptions &terms) const
    {
        std::vector<Looked> looked;
        if (m_parts.terms.probesPerRound == 0 || run.service.healthPath.empty()) {
            return looked;
        }
        std::vector<core::TargetId> avoid(terms.excludedTargets.begin(), terms.excludedTargets.end());
        auto wanted = terms;
        wanted.localOnly = true;
        while (!mayChoose(run, terms, looked)) {
            wanted.excludedTargets = avoid;
            // A question across failure domains costs, so far targets are asked one by one.
            const bool single = looked.empty() || !wanted.localOnly;
            auto round = look(run, wanted, single ? 1 : m_parts.terms.probesPerRound);
            if (round.empty() && (terms.localOnly || !wanted.localOnly)) {
                break;
            }
            wanted.localOnly = wanted.localOnly && !round.empty();
            for (auto &each : round) {
                avoid.push_back(each.target->id);
                looked.push_back(std::move(each));
            }
        }
        return looked;
    }

    /** Whether one of those that told their load can be given the request, and looking further is not worth while. */
    bool mayChoose(const Run &run, const routing::AssignOptions &terms, const std::vector<Looked> &looked) const
    {
        const auto told = thatTold(looked);
        auto among = terms;
        among.allowedTargets = told;
        among.idleOnly = looked.size() < m_parts.terms.probesPerRound;
        return !told.empty() && !m_parts.router.shortlist(run.service.name, m_parts.timers.now(), among, 1).empty();
    }

    std::vector<Looked> look(const Run &run, const routing::AssignOptions &terms, std::size_t count) const
    {
        const auto chosen = m_parts.router.shortlist(run.service.name, m_parts.timers.now(), terms, count);
        if (chosen.empty()) {
            return {};
        }
        std::vector<http::LoadProbeTarget> asked;
        asked.reserve(chosen.size());
        for (const auto &target : chosen) {
            asked.push_back({target->id, target->address});
        }
        auto looks = http::probeLoad(run.exchange,
                                     m_parts.connections,
                                     asked,
                                     {run.service.healthPath, m_parts.terms.probeTimeout, m_parts.marking});
        const auto now = m_parts.timers.now();
        std::vector<Looked> looked;
        looked.reserve(chosen.size());
        for (std::size_t position = 0; position < chosen.size(); ++position) {
            if (looks[position].load) {
                m_parts.router.recordLoadReport(*chosen[position], *looks[position].load, now);
            } else {
                m_parts.router.recordFailedProbe(*chosen[position], looks[position].failed, now);
            }
            looked.push_back({chosen[position], std::move(looks[position])});
        }
        return looked;
    }

    /** Not run only where no attempt ran. */
    static requests::RequestOutcome together(const requests::RequestOutcome &before,
                                             const requests::RequestOutcome &latest)
    {
        return {before.run == RunState::NotRun ? latest.run : before.run, latest.failure};
    }

    static bool canRepeat(const http::RelayResult &result)
    {
        const auto code = result.outcome.failure->code;
        return !result.sentToCaller && !result.bodyConsumed && !result.callerLeft
               && (code == ErrorCode::TargetFailed || code == ErrorCode::AnswerTruncated);
    }

    void logFailure(const Run &run, const targets::Target &target, const http::RelayResult &result) const
    {
        core::log(core::LogLevel::Info,
                  "attempt-failed",
                  {{"request", m_parts.marking.requestId(run.exchange)},
                   {"service", run.service.name.str()},
                   {"target", target.id.str()},
                   {"condition", core::nameOf(targets::ConditionNames, target.condition)},
                   {"attempt", static_cast<std::uint64_t>(run.tried.size() + 1)},
                   {"stage", core::nameOf(requests::AttemptStageNames, result.stage)},
                   {"run", core::nameOf(requests::RunStateNames, result.outcome.run)},
                   {"error", describe(*result.outcome.failure)}});
    }

    void logRefusal(const Run &run) const
    {
        core::log(core::LogLevel::Info,
                  "request-refused",
                  {{"request", m_parts.marking.requestId(run.exchange)},
                   {"service", run.service.name.str()},
                   {"run", core::nameOf(requests::RunStateNames, run.known.run)},
                   {"tried", static_cast<std::uint64_t>(run.tried.size())},
                   {"error", describe(*run.known.failure)}});
    }

    void finish(const Run &run, const http::RelayResult &result) const
    {
        if (result.sentToCaller || result.callerLeft) {
            run.exchange.closeAfterwards();
            return;
        }
        refuse(run.exchange, run.known, m_parts.router.usualProcessingTime(run.service.name));
    }

    /** @p usual is how long work takes there. A target that answered whole, but not to this caller, can't have its
     * "ran" told in a refusal. */
    void refuse(http::Exchange &exchange, requests::RequestOutcome outcome, core::Duration usual = {}) const
    {
        if (outcome.run == RunState::Ran) {
            outcome.run = RunState::Unknown;
        }
        std::optional<core::Duration> retryAfter;
        if (outcome.run == RunState::NotRun) {
            const bool unready = outcome.failure->code == ErrorCode::NotCurrent;
            const auto base = std::max(unready ? NotCurrentRetryAfter : LeastRetryAfter, RetryAfterWorks * usual);
            retryAfter = base + base * core::randomBelow(m_parts.random, 100) / 100;
        }
        exchange.send(m_parts.marking.makeRefusal({std::move(outcome), retryAfter}));
    }

    const CallerHandlerDependencies m_parts;
};

} // namespace

http::Handler makeCallerHttpHandler(CallerHandlerDependencies parts)
{
    const auto front = std::make_shared<Front>(std::move(parts));
    return [front](http::Exchange &exchange) {
        front->handle(exchange);
    };
}

} // namespace pimentoshed::entry
