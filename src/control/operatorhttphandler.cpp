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

constexpr std::uint64_t FileBytes = 16U << 20U;
constexpr std::string_view DomainPrefix = "/pimentoshed/v1/failure-domains/";

http::Reply answerReply(const changes::Answer &answer)
{
    if (!core::ok(answer)) {
        const auto code = core::error(answer).code;
        const bool unavailable = code == core::ErrorCode::NoQuorum || code == core::ErrorCode::NotLeader
                                 || code == core::ErrorCode::ChangeNotCommitted
                                 || code == core::ErrorCode::JournalWriteFailed;
        return http::errorReply(unavailable ? status::service_unavailable : status::conflict, core::error(answer));
    }
    const auto &accepted = core::value(answer);
    return http::jsonReply(status::ok, {{"revision", accepted.revision}, {"version", accepted.version}});
}

json describeStanding(const changes::ActiveConfiguration &standing)
{
    json domains = json::object();
    for (const auto &[name, domain] : standing.domains) {
        domains[name.str()] = {{"out", domain.out}, {"changes", domain.changeCount}};
    }
    return {{"revision", standing.revision}, {"version", standing.version}, {"failure_domains", domains}};
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

/** Serves one control host's operators. */
class Front
{
public:
    explicit Front(HttpHandlerDependencies services)
        : m_services(std::move(services))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        const auto path = exchange.path();
        if (path == "/pimentoshed/v1/configuration" && exchange.method() == "POST") {
            exchange.send(applyFile(exchange));
        } else if (path.starts_with(DomainPrefix) && exchange.method() == "POST") {
            exchange.send(moveDomain(exchange, path.substr(DomainPrefix.size())));
        } else if (path == "/pimentoshed/v1/state") {
            exchange.send(state());
        } else {
            exchange.send(http::notFound());
        }
    }

private:
    http::Reply applyFile(http::Exchange &exchange) const
    {
        auto body = exchange.readBody(FileBytes);
        if (!core::ok(body)) {
            return http::errorReply(status::bad_request, core::error(body));
        }
        const core::ChangeId id{std::string(exchange.header("Change-Id"))};
        if (id.empty()) {
            return http::errorReply(status::bad_request, {core::ErrorCode::RequestMalformed, "no Change-Id"});
        }
        return decide(exchange, changes::ApplyFile{id, std::move(core::value(body))});
    }

    http::Reply moveDomain(http::Exchange &exchange, std::string_view rest) const
    {
        const auto slash = rest.find('/');
        const auto verb = slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
        const auto replaces = number(exchange.queryValue("replaces"));
        changes::SetDomainAvailability change;
        change.id = core::ChangeId(std::string(exchange.header("Change-Id")));
        if ((verb != "take-out" && verb != "return") || change.id.empty() || !replaces) {
            return http::errorReply(status::bad_request, {core::ErrorCode::RequestMalformed, "no such change"});
        }
        change.domain = core::FailureDomain(std::string(rest.substr(0, slash)));
        change.out = verb == "take-out";
        change.expectedChangeCount = *replaces;
        return decide(exchange, change);
    }

    http::Reply decide(http::Exchange &exchange, const changes::Change &change) const
    {
        const auto answer =
            http::await<changes::Answer>(exchange, [this, &change](std::function<void(changes::Answer)> done) {
                m_services.submitChange(change, std::move(done));
            });
        return answerReply(answer);
    }

    static std::optional<std::uint64_t> number(std::string_view text)
    {
        std::uint64_t parsed = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), parsed);
        return code == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(parsed)
                                                                                        : std::nullopt;
    }

    http::Reply state() const
    {
        return http::jsonReply(status::ok,
                               {{"role", "control"},
                                {"id", m_services.id.str()},
                                {"standing", describeStanding(*m_services.activeConfiguration())},
                                {"log", describeLog(m_services.inspectLog())},
                                {"entry_hosts", describeHosts(m_services.entryHosts())},
                                {"targets", m_services.targetCount()}});
    }

    const HttpHandlerDependencies m_services;
};

} // namespace

http::Handler makeOperatorHttpHandler(HttpHandlerDependencies services)
{
    const auto front = std::make_shared<Front>(std::move(services));
    return [front](http::Exchange &exchange) {
        front->handle(exchange);
    };
}

} // namespace pimentoshed::control
