#include "entry/targethttphandler.h"

#include "http/address.h"
#include "http/jsonreply.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace pimentoshed::entry
{

using boost::beast::http::status;
using nlohmann::json;

namespace
{

/** Limit on the body of an announcement. */
constexpr std::uint64_t MaxAnnouncementBytes = 65536;

core::Error malformed(std::string detail)
{
    return {core::ErrorCode::AnnouncementMalformed, std::move(detail)};
}

core::Result<targets::Target> parseAnnouncement(const std::string &body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return malformed("not a JSON object");
    }
    targets::Target target;
    try {
        target.id = core::TargetId(parsed.at("id").get<std::string>());
        target.service = core::ServiceName(parsed.at("service").get<std::string>());
        target.domain = core::FailureDomain(parsed.at("failure_domain").get<std::string>());
        target.address = parsed.at("address").get<std::string>();
        target.version.incarnation = parsed.at("incarnation").get<std::uint64_t>();
        target.version.sequence = parsed.at("sequence").get<std::uint64_t>();
        const auto condition = core::valueOf(targets::ConditionNames, parsed.at("condition").get<std::string>());
        if (!condition) {
            return malformed("condition: expected cold, warm, leaving or gone");
        }
        target.condition = *condition;
        target.softwareVersion = parsed.value("version", "");
    } catch (const json::exception &failure) {
        return malformed(failure.what());
    }
    if (!core::ok(http::parseAddress(target.address))) {
        return malformed("address: expected IP:PORT");
    }
    if (const auto checked = targets::checkNames(target); !core::ok(checked)) {
        return core::error(checked);
    }
    return target;
}

/** Serves the targets and operators of one entry host. */
class TargetHttpHandler
{
public:
    explicit TargetHttpHandler(TargetHandlerDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        if (exchange.path() == "/pimentoshed/v1/targets" && exchange.method() == "POST") {
            const auto reply = announce(exchange);
            m_dependencies.onMessage(
                telemetry::ControlMessage::AnnouncementReply, telemetry::Direction::Out, reply.body.size());
            exchange.send(reply);
        } else if (exchange.path() == "/pimentoshed/v1/state") {
            exchange.send(state());
        } else {
            exchange.send(http::notFound());
        }
    }

private:
    http::Reply announce(http::Exchange &exchange) const
    {
        const auto body = exchange.readBody(MaxAnnouncementBytes);
        if (!core::ok(body)) {
            return http::errorReply(status::bad_request, core::error(body));
        }
        m_dependencies.onMessage(
            telemetry::ControlMessage::Announcement, telemetry::Direction::In, core::value(body).size());
        auto target = parseAnnouncement(core::value(body));
        if (!core::ok(target)) {
            return http::errorReply(status::bad_request, core::error(target));
        }
        auto &announced = core::value(target);
        announced.origin = m_dependencies.self().id;
        const auto lease = leaseLength();
        switch (m_dependencies.targets.announce(announced, m_dependencies.timers.now() + lease)) {
        case targets::UpdateResult::Stale:
            return http::errorReply(status::conflict, {core::ErrorCode::AnnouncementStale, announced.id.str()});
        case targets::UpdateResult::Changed:
            // The stored record has the lease epoch by which other hosts see that this host keeps the lease now.
            if (const auto stored = m_dependencies.targets.find(announced.id)) {
                m_dependencies.onTargetChanged(*stored);
            }
            break;
        case targets::UpdateResult::Renewed:
        case targets::UpdateResult::Reasserted:
            break;
        }
        const auto leaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
        return http::jsonReply(status::ok, {{"lease_ms", leaseMs}});
    }

    core::Duration leaseLength() const
    {
        const auto active = m_dependencies.view.latest();
        return active ? active->configuration->limits.targetLease : configuration::Limits{}.targetLease;
    }

    http::Reply state() const
    {
        json targetList = json::array();
        for (const auto &target : m_dependencies.targets.all()) {
            targetList.push_back({{"id", target.id.str()},
                                  {"service", target.service.str()},
                                  {"failure_domain", target.domain.str()},
                                  {"address", target.address},
                                  {"condition", core::nameOf(targets::ConditionNames, target.condition)}});
        }
        const auto self = m_dependencies.self();
        return http::jsonReply(status::ok,
                               {{"role", "entry"},
                                {"id", self.id.str()},
                                {"failure_domain", self.domain.str()},
                                {"stopping", self.stopping},
                                {"revision", m_dependencies.view.revision()},
                                {"current", core::ok(m_dependencies.view.current(m_dependencies.timers.now()))},
                                {"entry_hosts", m_dependencies.view.hostCount()},
                                {"in_progress", m_dependencies.requestsInProgress()},
                                {"targets", targetList}});
    }

    const TargetHandlerDependencies m_dependencies;
};

} // namespace

http::Handler makeTargetHttpHandler(TargetHandlerDependencies dependencies)
{
    const auto handler = std::make_shared<TargetHttpHandler>(std::move(dependencies));
    return [handler](http::Exchange &exchange) {
        handler->handle(exchange);
    };
}

} // namespace pimentoshed::entry
