#include "entry/callerhttphandler.h"

#include "entry/attempts.h"
#include "entry/configurationfollower.h"
#include "entry/hedgedrelay.h"
#include "entry/refusals.h"
#include "entry/relaystep.h"
#include "entry/requestadmission.h"
#include "entry/requestidentification.h"
#include "entry/requestlog.h"
#include "entry/requestquota.h"
#include "entry/targetassignment.h"
#include "entry/targetprober.h"
#include "http/jsonreply.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace pimentoshed::entry
{

using boost::beast::http::status;
using requests::RunState;

namespace
{

constexpr std::string_view AddressesPath = "/pimentoshed/v1/addresses";

/** Serves the callers of one entry host: joins the steps of their requests. */
class CallerHttpHandler
{
public:
    explicit CallerHttpHandler(CallerHandlerDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    // The steps refer to the dependencies and to each other.
    CallerHttpHandler(const CallerHttpHandler &) = delete;
    CallerHttpHandler &operator=(const CallerHttpHandler &) = delete;

    void handle(http::Exchange &exchange) const
    {
        if (!m_admission.awaitConfiguration(exchange)) {
            exchange.closeAfterwards();
            return;
        }
        const auto active = m_dependencies.view.current(m_dependencies.timers.now());
        if (!core::ok(active)) {
            m_log.logNotCurrent(exchange, core::error(active));
            m_refusals.refuse(exchange, {RunState::NotRun, core::error(active)});
            m_dependencies.onRequestEnd({{}, core::error(active).code, {}, {}});
            return;
        }
        if (exchange.path() == AddressesPath) {
            exchange.send(addresses(exchange, *core::value(active)));
            return;
        }
        const auto started = m_dependencies.timers.now();
        auto completed = serve(exchange, core::value(active));
        completed.duration = m_dependencies.timers.now() - started;
        m_dependencies.onRequestEnd(completed);
    }

private:
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

    telemetry::CompletedRequest serve(http::Exchange &exchange, const ConfigurationRef &active) const
    {
        telemetry::CompletedRequest completed;
        ActiveRequest request{exchange, requests::WaitingRequest(m_dependencies.timers.now())};
        const auto identified = m_identification.identify(request, active);
        if (request.service != nullptr) {
            completed.service = request.service->name.str();
        }
        if (!core::ok(identified)) {
            refuse(exchange, core::error(identified), completed);
            return completed;
        }
        requests::RequestsInProgress::Row row(m_dependencies.requestsInProgress,
                                              {.id = m_dependencies.protocolHooks.requestId(exchange),
                                               .arrival = request.waiting.arrival(),
                                               .deadline = request.waiting.deadline(),
                                               .phase = requests::RequestPhase::Assignment,
                                               .phaseStart = request.waiting.arrival(),
                                               .target = {},
                                               .service = request.service->name});
        request.row = &row;
        if (const auto body = m_admission.prefetchBody(request); !core::ok(body)) {
            exchange.closeAfterwards();
            refuse(exchange, core::error(body), completed);
            return completed;
        }
        if (const auto quota = m_quota.take(request); !core::ok(quota)) {
            refuse(exchange, core::error(quota), completed, request.retryAfter);
            return completed;
        }
        m_attempts.run(request, completed);
        if (completed.failure && (request.attemptsSent == 0 || request.outcome.run == RunState::NotRun)) {
            m_quota.giveBack(request);
        }
        return completed;
    }

    void refuse(http::Exchange &exchange,
                const core::Error &error,
                telemetry::CompletedRequest &completed,
                std::optional<core::Duration> retryAfter = {}) const
    {
        completed.failure = error.code;
        m_refusals.refuse(exchange, {RunState::NotRun, error}, nullptr, retryAfter);
    }

    const CallerHandlerDependencies m_dependencies;
    const ConfigurationFollower m_follower{m_dependencies};
    const RequestIdentification m_identification{m_dependencies, m_follower};
    const RequestAdmission m_admission{m_dependencies};
    const TargetProber m_prober{m_dependencies};
    const TargetAssignment m_assignment{m_dependencies, m_follower, m_prober};
    const RequestQuota m_quota{m_dependencies.timers, m_dependencies.spendQuota, m_dependencies.giveBackQuota};
    const Refusals m_refusals{m_dependencies};
    const RequestLog m_log{m_dependencies};
    const RelayStep m_step{m_dependencies, m_log};
    const HedgedRelay m_relay{m_dependencies, m_assignment, m_quota, m_step, m_log};
    const Attempts m_attempts{m_dependencies, m_assignment, m_quota, m_relay, m_refusals, m_log};
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
