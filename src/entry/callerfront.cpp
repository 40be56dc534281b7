#include "entry/callerfront.h"

#include "core/log.h"
#include "http/json.h"
#include "http/relay.h"

#include <algorithm>
#include <charconv>
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

status statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NoSuchService:
        return status::not_found;
    case ErrorCode::RequestMalformed:
    case ErrorCode::RequestKeyMissing:
        return status::bad_request;
    case ErrorCode::RequestTooLarge:
        return status::payload_too_large;
    case ErrorCode::CallerTooSlow:
        return status::request_timeout;
    case ErrorCode::DeadlinePassed:
        return status::gateway_timeout;
    case ErrorCode::TargetFailed:
    case ErrorCode::AnswerTruncated:
        return status::bad_gateway;
    case ErrorCode::RequestKeyUsed:
        return status::conflict;
    default:
        return status::service_unavailable;
    }
}

http::Reply refusal(const requests::Outcome &outcome)
{
    auto reply = http::errorReply(statusOf(outcome.failure->code), *outcome.failure);
    reply.headers.emplace_back(http::RunHeader, core::nameOf(requests::RunStateNames, outcome.run));
    return reply;
}

http::Reply notRun(ErrorCode code, std::string detail)
{
    return refusal({RunState::NotRun, core::Error{code, std::move(detail)}});
}

routing::AttemptOutcome attemptOutcome(const requests::Outcome &outcome)
{
    if (!outcome.failure) {
        return routing::AttemptOutcome::Answered;
    }
    switch (outcome.failure->code) {
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
    explicit Front(CallerParts parts)
        : m_parts(std::move(parts))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        const auto standing = m_parts.view.current(m_parts.timers.now());
        if (!core::ok(standing)) {
            exchange.send(refusal({RunState::NotRun, core::error(standing)}));
            m_parts.ended({{}, core::error(standing).code, {}, {}});
            return;
        }
        if (exchange.path() == AddressesPath) {
            exchange.send(addresses(exchange, *core::value(standing)));
            return;
        }
        telemetry::RequestEnd end;
        const auto started = m_parts.timers.now();
        serve(exchange, *core::value(standing), end);
        end.duration = m_parts.timers.now() - started;
        m_parts.ended(end);
    }

private:
    http::Reply addresses(const http::Exchange &exchange, const changes::Standing &standing) const
    {
        const auto &limits = standing.configuration->limits;
        const core::FailureDomain preferred{std::string(exchange.queryValue("failure_domain"))};
        const auto chosen =
            membership::chooseAddresses(hosts(), outDomains(standing), preferred, limits.addressCount, m_parts.random);
        const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(limits.addressLifetime).count();
        return http::jsonReply(status::ok, {{"keep_ms", keep}, {"addresses", chosen}});
    }

    /** The hosts as known, but for what this one knows better of itself. */
    std::vector<membership::EntryHost> hosts() const
    {
        auto known = m_parts.view.hosts();
        const auto self = m_parts.self();
        for (auto &host : known) {
            host.stopping = host.stopping || (host.id == self.id && self.stopping);
        }
        return known;
    }

    void serve(http::Exchange &exchange, const changes::Standing &standing, telemetry::RequestEnd &end) const
    {
        const auto *service = configuration::serviceForPath(*standing.configuration, exchange.path());
        if (service == nullptr) {
            end.failure = ErrorCode::NoSuchService;
            exchange.send(notRun(ErrorCode::NoSuchService, std::string(exchange.path())));
            return;
        }
        end.service = service->name.str();
        const bool idempotent = configuration::isIdempotent(*service, exchange.method());
        if (!idempotent && exchange.header(service->requestKeyHeader).empty()) {
            end.failure = ErrorCode::RequestKeyMissing;
            exchange.send(notRun(ErrorCode::RequestKeyMissing, service->requestKeyHeader));
            return;
        }
        const auto deadline = deadlineOf(exchange, *service);
        if (!core::ok(deadline)) {
            end.failure = core::error(deadline).code;
            exchange.send(refusal({RunState::NotRun, core::error(deadline)}));
            return;
        }
        http::RelayTerms terms;
        terms.deadline = core::value(deadline);
        terms.maxRequestBytes = service->maxRequestBytes;
        terms.shedIsNotRun = service->shedIsNotRun;
        terms.idempotent = idempotent;
        followStanding(standing);
        runAttempts(exchange, *service, std::move(terms), end);
    }

    core::Result<core::TimePoint> deadlineOf(const http::Exchange &exchange,
                                             const configuration::Service &service) const
    {
        const auto asked = exchange.header(http::DeadlineHeader);
        const auto now = m_parts.timers.now();
        if (asked.empty()) {
            return now + service.deadline;
        }
        std::uint32_t millis = 0;
        const auto [end, code] = std::from_chars(asked.data(), asked.data() + asked.size(), millis);
        if (code != std::errc() || end != asked.data() + asked.size()) {
            return core::Error{ErrorCode::RequestMalformed, std::string(http::DeadlineHeader)};
        }
        return now + std::min<core::Duration>(service.deadline, std::chrono::milliseconds(millis));
    }

    void followStanding(const changes::Standing &standing) const
    {
        m_parts.router.setOutDomains(outDomains(standing));
        if (m_parts.router.configure(standing.configuration)) {
            for (const auto &target : m_parts.targets.all()) {
                m_parts.router.update(target);
            }
        }
    }

    /** Attempts until one answers the caller or no further one is allowed. */
    void runAttempts(http::Exchange &exchange,
                     const configuration::Service &service,
                     http::RelayTerms terms,
                     telemetry::RequestEnd &end) const
    {
        m_parts.firstAttempt(service);
        std::vector<core::TargetId> tried;
        requests::Outcome known;
        while (true) {
            const auto assignment = assign(service, tried);
            if (!core::ok(assignment)) {
                end.failure = core::error(assignment).code;
                refuse(exchange, tried.empty() ? requests::Outcome{RunState::NotRun, core::error(assignment)} : known);
                return;
            }
            const auto result = attempt(exchange, core::value(assignment), terms);
            end.waited = result.waited;
            if (!result.outcome.failure) {
                end.failure.reset();
                return;
            }
            tried.push_back(core::value(assignment).target->id);
            known = together(known, result.outcome);
            end.failure = known.failure->code;
            const RetryCase failed{
                service, terms.idempotent, known.run, static_cast<unsigned>(tried.size()), timeLeft(terms)};
            if (!canRepeat(result) || !m_parts.mayRetry(failed)) {
                finish(exchange, result, known);
                return;
            }
            exchange.body().rewind();
        }
    }

    http::RelayResult attempt(http::Exchange &exchange,
                              const routing::Assignment &assignment,
                              http::RelayTerms &terms) const
    {
        terms.address = assignment.target->address;
        const auto started = m_parts.timers.now();
        auto result = http::relay(exchange, m_parts.connections, terms);
        const auto ended = m_parts.timers.now();
        m_parts.router.release(assignment, {attemptOutcome(result.outcome), ended - started, std::nullopt}, ended);
        if (result.outcome.failure) {
            logFailure(assignment.target->id, result);
        }
        return result;
    }

    /** Each attempt sees the present configuration and targets, but for those that have failed this request. */
    core::Result<routing::Assignment> assign(const configuration::Service &service,
                                             const std::vector<core::TargetId> &tried) const
    {
        const auto now = m_parts.timers.now();
        const auto standing = m_parts.view.current(now);
        if (!core::ok(standing)) {
            return core::error(standing);
        }
        m_parts.router.setOutDomains(outDomains(*core::value(standing)));
        return m_parts.router.assign(service.name, now, tried);
    }

    /** Not run only where no attempt ran. */
    static requests::Outcome together(const requests::Outcome &before, const requests::Outcome &latest)
    {
        return {before.run == RunState::NotRun ? latest.run : before.run, latest.failure};
    }

    static bool canRepeat(const http::RelayResult &result)
    {
        return !result.answered && !result.bodyTaken && !result.callerGone
               && result.outcome.failure->code == ErrorCode::TargetFailed;
    }

    core::Duration timeLeft(const http::RelayTerms &terms) const
    {
        return terms.deadline - m_parts.timers.now();
    }

    static void logFailure(const core::TargetId &target, const http::RelayResult &result)
    {
        core::log(core::LogLevel::Info,
                  "attempt-failed",
                  {{"target", target.str()},
                   {"stage", core::nameOf(requests::AttemptStageNames, result.stage)},
                   {"error", describe(*result.outcome.failure)}});
    }

    static void finish(http::Exchange &exchange, const http::RelayResult &result, const requests::Outcome &known)
    {
        if (result.answered || result.callerGone) {
            exchange.closeAfterwards();
            return;
        }
        refuse(exchange, known);
    }

    /** A target that answered whole, but not to this caller, can't have its "ran" told in a refusal. */
    static void refuse(http::Exchange &exchange, requests::Outcome outcome)
    {
        if (outcome.run == RunState::Ran) {
            outcome.run = RunState::Unknown;
        }
        exchange.send(refusal(outcome));
    }

    const CallerParts m_parts;
};

} // namespace

http::Handler callerHandler(CallerParts parts)
{
    const auto front = std::make_shared<Front>(std::move(parts));
    return [front](http::Exchange &exchange) {
        front->handle(exchange);
    };
}

} // namespace pimentoshed::entry
