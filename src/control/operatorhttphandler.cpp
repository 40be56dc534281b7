#include "control/operatorhttphandler.h"

#include "http/await.h"
#include "http/jsonreply.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace pimentoshed::control
{

using boost::beast::http::status;
using nlohmann::json;

namespace
{

constexpr std::uint64_t MaxFileBytes = 16U << 20U;
constexpr std::string_view DomainPrefix = "/pimentoshed/v1/failure-domains/";
constexpr std::string_view RolloutPrefix = "/pimentoshed/v1/rollouts/";

status statusOf(core::ErrorCode code)
{
    switch (code) {
    case core::ErrorCode::NoQuorum:
    case core::ErrorCode::NotLeader:
    case core::ErrorCode::ChangeNotCommitted:
    case core::ErrorCode::JournalWriteFailed:
    case core::ErrorCode::OrderStale:
        return status::service_unavailable;
    case core::ErrorCode::RequestMalformed:
        return status::bad_request;
    default:
        return status::conflict;
    }
}

http::Reply replyTo(const changes::Answer &answer)
{
    if (!core::ok(answer)) {
        return http::errorReply(statusOf(core::error(answer).code), core::error(answer));
    }
    const auto &accepted = core::value(answer);
    return http::jsonReply(status::ok, {{"revision", accepted.revision}, {"version", accepted.version}});
}

json describeConfiguration(const changes::ActiveConfiguration &configuration)
{
    json domains = json::object();
    for (const auto &[name, domain] : configuration.domains) {
        domains[name.str()] = {{"out", domain.out}, {"changes", domain.changeCount}};
    }
    return {{"revision", configuration.revision}, {"version", configuration.version}, {"failure_domains", domains}};
}

json describeHosts(const std::vector<membership::EntryHost> &hosts)
{
    json list = json::array();
    for (const auto &host : hosts) {
        list.push_back({{"id", host.id.str()},
                        {"failure_domain", host.domain.str()},
                        {"address", host.address},
                        {"stopping", host.stopping}});
    }
    return list;
}

json describeLog(const consensus::ReplicaStatus &log)
{
    json voters = json::array();
    for (const auto &voter : log.members.voters) {
        voters.push_back({{"host", voter.host.str()}, {"disk", voter.disk.str()}});
    }
    return {{"role", core::nameOf(consensus::RoleNames, log.role)},
            {"term", log.term.value()},
            {"leader", log.leader ? log.leader->host.str() : ""},
            {"disk", log.self.disk.str()},
            {"commit", log.commit.value()},
            {"last", log.last.value()},
            {"durable", log.durable.value()},
            {"snapshot", log.snapshot.value()},
            {"voters", voters},
            {"members_settled", log.members.isSettled()}};
}

/** Handles the HTTP requests of one control host's operators. */
class OperatorHttpHandler
{
public:
    explicit OperatorHttpHandler(HttpHandlerDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        const auto path = exchange.path();
        if (path == "/pimentoshed/v1/configuration" && exchange.method() == "POST") {
            exchange.send(applyFile(exchange));
        } else if (path.starts_with(DomainPrefix) && exchange.method() == "POST") {
            exchange.send(setDomainAvailability(exchange, path.substr(DomainPrefix.size())));
        } else if (path.starts_with(RolloutPrefix)) {
            const core::ServiceName service{std::string(path.substr(RolloutPrefix.size()))};
            exchange.send(exchange.method() == "POST" ? startRollout(exchange, service)
                                                      : rolloutReply(exchange, service));
        } else if (path == "/pimentoshed/v1/state") {
            exchange.send(stateReply());
        } else {
            exchange.send(http::notFound());
        }
    }

private:
    http::Reply applyFile(http::Exchange &exchange) const
    {
        auto body = exchange.readBody(MaxFileBytes);
        if (!core::ok(body)) {
            return http::errorReply(status::bad_request, core::error(body));
        }
        const core::ChangeId id{std::string(exchange.header("Change-Id"))};
        if (id.empty()) {
            return http::errorReply(status::bad_request,
                                    {core::ErrorCode::RequestMalformed, "the header Change-Id is missing"});
        }
        return submit(exchange, changes::ApplyFile{id, std::move(core::value(body))});
    }

    http::Reply setDomainAvailability(http::Exchange &exchange, std::string_view domainAndVerb) const
    {
        const auto slash = domainAndVerb.find('/');
        const auto verb = slash == std::string_view::npos ? std::string_view{} : domainAndVerb.substr(slash + 1);
        const auto replaces = parseNumber(exchange.queryValue("replaces"));
        changes::SetDomainAvailability change;
        change.id = core::ChangeId(std::string(exchange.header("Change-Id")));
        if ((verb != "take-out" && verb != "return") || change.id.empty() || !replaces) {
            return http::errorReply(status::bad_request,
                                    {core::ErrorCode::RequestMalformed,
                                     "expected the verb take-out or return, the header Change-Id and a number in the "
                                     "query parameter replaces"});
        }
        change.domain = core::FailureDomain(std::string(domainAndVerb.substr(0, slash)));
        change.out = verb == "take-out";
        change.expectedChangeCount = *replaces;
        return submit(exchange, change);
    }

    http::Reply startRollout(http::Exchange &exchange, const core::ServiceName &service) const
    {
        const auto age = m_dependencies.receiveOrder();
        const auto over = parseNumber(exchange.queryValue("over_ms"));
        changes::StartRollout change;
        change.id = core::ChangeId(std::string(exchange.header("Change-Id")));
        change.order.service = service;
        change.order.softwareVersion = std::string(exchange.queryValue("version"));
        if (change.id.empty() || !over || *over > core::toMilliseconds(rollouts::MaxOver)) {
            return http::errorReply(status::bad_request,
                                    {core::ErrorCode::RequestMalformed,
                                     "expected the header Change-Id, and a version and a number of milliseconds in the "
                                     "query parameters version and over_ms"});
        }
        change.order.over = std::chrono::milliseconds(*over);
        if (exchange.hasCallerLeft()) {
            return replyTo(core::Error{core::ErrorCode::OrderStale, service.str()});
        }
        return replyTo(
            http::await<changes::Answer>(exchange, [this, &change, &age](std::function<void(changes::Answer)> done) {
                m_dependencies.startRollout(change, age, std::move(done));
            }));
    }

    http::Reply rolloutReply(http::Exchange &exchange, const core::ServiceName &service) const
    {
        const bool isCurrent = http::await<bool>(exchange, [this](std::function<void(bool)> done) {
            m_dependencies.confirmCurrent(std::move(done));
        });
        if (!isCurrent) {
            return http::errorReply(status::service_unavailable, {core::ErrorCode::NoQuorum, service.str()});
        }
        const auto active = m_dependencies.activeConfiguration();
        const auto found = active->rollouts.find(service);
        if (found == active->rollouts.end()) {
            return http::notFound();
        }
        const auto &rollout = found->second;
        return http::jsonReply(status::ok,
                               {{"service", service.str()},
                                {"version", rollout.order.softwareVersion},
                                {"over_ms", core::toMilliseconds(rollout.order.over)},
                                {"number", rollout.number},
                                {"state", core::nameOf(rollouts::StateNames, rollout.state)},
                                {"share", rollout.share()},
                                {"reason", core::nameOf(rollouts::ReasonNames, rollout.reason)}});
    }

    http::Reply submit(http::Exchange &exchange, const changes::Change &change) const
    {
        const auto answer =
            http::await<changes::Answer>(exchange, [this, &change](std::function<void(changes::Answer)> done) {
                m_dependencies.submitChange(change, std::move(done));
            });
        return replyTo(answer);
    }

    static std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t parsed = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), parsed);
        return code == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(parsed)
                                                                                        : std::nullopt;
    }

    http::Reply stateReply() const
    {
        return http::jsonReply(status::ok,
                               {{"role", "control"},
                                {"id", m_dependencies.id.str()},
                                {"standing", describeConfiguration(*m_dependencies.activeConfiguration())},
                                {"log", describeLog(m_dependencies.replicaStatus())},
                                {"entry_hosts", describeHosts(m_dependencies.entryHosts())},
                                {"targets", m_dependencies.targetCount()}});
    }

    const HttpHandlerDependencies m_dependencies;
};

} // namespace

http::Handler makeOperatorHttpHandler(HttpHandlerDependencies dependencies)
{
    const auto handler = std::make_shared<OperatorHttpHandler>(std::move(dependencies));
    return [handler](http::Exchange &exchange) {
        handler->handle(exchange);
    };
}

} // namespace pimentoshed::control
