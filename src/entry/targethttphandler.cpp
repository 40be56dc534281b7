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

constexpr std::uint64_t AnnouncementBytes = 65536;

core::Error malformed(std::string detail)
{
    return {core::ErrorCode::AnnouncementMalformed, std::move(detail)};
}

core::Result<targets::Target> readAnnouncement(const std::string &body)
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
    } catch (const json::exception &failure) {
        return malformed(failure.what());
    }
    if (target.id.empty() || !core::ok(http::parseAddress(target.address))) {
        return malformed("id or address: expected a name and IP:PORT");
    }
    return target;
}

/** Serves one entry host's targets. */
class Front
{
public:
    explicit Front(TargetHandlerDependencies parts)
        : m_parts(std::move(parts))
    {
    }

    void handle(http::Exchange &exchange) const
    {
        if (exchange.path() == "/pimentoshed/v1/targets" && exchange.method() == "POST") {
            const auto reply = announce(exchange);
            m_parts.traffic(telemetry::ControlMessage::AnnouncementReply, telemetry::Direction::Out, reply.body.size());
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
        const auto body = exchange.readBody(AnnouncementBytes);
        if (!core::ok(body)) {
            return http::errorReply(status::bad_request, core::error(body));
        }
        m_parts.traffic(telemetry::ControlMessage::Announcement, telemetry::Direction::In, core::value(body).size());
        auto target = readAnnouncement(core::value(body));
        if (!core::ok(target)) {
            return http::errorReply(status::bad_request, core::error(target));
        }
        auto &announced = core::value(target);
        announced.origin = m_parts.self().id;
        const auto lease = leaseLength();
        switch (m_parts.targets.announce(announced, m_parts.timers.now() + lease)) {
        case targets::UpdateResult::Stale:
            return http::errorReply(status::conflict, {core::ErrorCode::AnnouncementStale, announced.id.str()});
        case targets::UpdateResult::Changed:
            m_parts.report(announced);
            break;
        case targets::UpdateResult::Renewed:
        case targets::UpdateResult::Reasserted:
            break;
        }
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
        return http::jsonReply(status::ok, {{"lease_ms", millis}});
    }

    core::Duration leaseLength() const
    {
        const auto standing = m_parts.view.latest();
        return standing ? standing->configuration->limits.targetLease : configuration::Limits{}.targetLease;
    }

    http::Reply state() const
    {
        json known = json::array();
        for (const auto &target : m_parts.targets.all()) {
            known.push_back({{"id", target.id.str()},
                             {"service", target.service.str()},
                             {"failure_domain", target.domain.str()},
                             {"address", target.address},
                             {"condition", core::nameOf(targets::ConditionNames, target.condition)}});
        }
        const auto self = m_parts.self();
        return http::jsonReply(status::ok,
                               {{"role", "entry"},
                                {"id", self.id.str()},
                                {"failure_domain", self.domain.str()},
                                {"stopping", self.stopping},
                                {"revision", m_parts.view.revision()},
                                {"current", core::ok(m_parts.view.current(m_parts.timers.now()))},
                                {"entry_hosts", m_parts.view.hosts().size()},
                                {"in_progress", m_parts.inProgress()},
                                {"targets", known}});
    }

    const TargetHandlerDependencies m_parts;
};

} // namespace

http::Handler makeTargetHttpHandler(TargetHandlerDependencies parts)
{
    const auto front = std::make_shared<Front>(std::move(parts));
    return [front](http::Exchange &exchange) {
        front->handle(exchange);
    };
}

} // namespace pimentoshed::entry
