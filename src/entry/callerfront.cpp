#include "entry/callerfront.h"

#include "core/log.h"
#include "http/json.h"
#include "http/relay.h"

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
    reply.headers.emplace_back("Pimentoshed-Run", core::nameOf(requests::RunStateNames, outcome.run));
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
        const auto chosen = membership::chooseAddresses(
            m_parts.view.hosts(), outDomains(standing), preferred, limits.addressCount, m_parts.random);
        const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(limits.addressLifetime).count();
        return http::jsonReply(status::ok, {{"keep_ms", keep}, {"addresses", chosen}});
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
        followStanding(standing);
        const auto assignment = m_parts.router.assign(service->name, m_parts.timers.now());
        if (!core::ok(assignment)) {
            end.failure = core::error(assignment).code;
            exchange.send(refusal({RunState::NotRun, core::error(assignment)}));
            return;
        }
        pass(exchange, *service, core::value(assignment), end);
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

    void pass(http::Exchange &exchange,
              const configuration::Service &service,
              const routing::Assignment &assignment,
              telemetry::RequestEnd &end) const
    {
        http::RelayTerms terms;
        const auto started = m_parts.timers.now();
        terms.address = assignment.target->address;
        terms.deadline = started + service.deadline;
        terms.maxRequestBytes = service.maxRequestBytes;
        terms.shedIsNotRun = service.shedIsNotRun;
        const auto result = http::relay(exchange, m_parts.connections, terms);
        const auto ended = m_parts.timers.now();
        m_parts.router.release(assignment, {attemptOutcome(result.outcome), ended - started, std::nullopt}, ended);
        end.waited = result.waited;
        if (!result.outcome.failure) {
            return;
        }
        end.failure = result.outcome.failure->code;
        core::log(core::LogLevel::Info,
                  "attempt-failed",
                  {{"target", assignment.target->id.str()}, {"error", describe(*result.outcome.failure)}});
        if (!result.answered) {
            exchange.send(refusal(result.outcome));
        }
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
