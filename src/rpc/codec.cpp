#include "rpc/codec.h"

#include "rpc/compression.h"

#include <utility>

namespace pimentoshed::rpc
{

void encode(const membership::EntryHost &host, EntryHost &message)
{
    message.set_id(host.id.str());
    message.set_domain(host.domain.str());
    message.set_address(host.address);
    message.set_incarnation(host.incarnation);
    message.set_stopping(host.stopping);
}

membership::EntryHost decode(const EntryHost &message)
{
    membership::EntryHost host;
    host.id = core::HostId(message.id());
    host.domain = core::FailureDomain(message.domain());
    host.address = message.address();
    host.incarnation = message.incarnation();
    host.stopping = message.stopping();
    return host;
}

void encode(const membership::HostUpdate &news, FollowReply &message)
{
    message.set_hosts_whole(news.isSnapshot);
    for (const auto &host : news.hosts) {
        encode(host, *message.add_hosts());
    }
    for (const auto &id : news.removed) {
        message.add_gone_hosts(id.str());
    }
}

membership::HostUpdate decodeHosts(const FollowReply &message)
{
    membership::HostUpdate news;
    news.isSnapshot = message.hosts_whole();
    news.hosts.reserve(static_cast<std::size_t>(message.hosts_size()));
    for (const auto &host : message.hosts()) {
        news.hosts.push_back(decode(host));
    }
    for (const auto &id : message.gone_hosts()) {
        news.removed.emplace_back(id);
    }
    return news;
}

void encode(const targets::Target &target, Target &message)
{
    message.set_id(target.id.str());
    message.set_service(target.service.str());
    message.set_domain(target.domain.str());
    message.set_address(target.address);
    message.set_incarnation(target.version.incarnation);
    message.set_sequence(target.version.sequence);
    message.set_condition(static_cast<std::uint32_t>(target.condition));
    message.set_lease_epoch(target.version.leaseEpoch);
    message.set_origin(target.origin.str());
    message.set_slots(target.slots);
    message.set_withdrawn(target.version.withdrawn);
}

core::Result<targets::Target> decode(const Target &message)
{
    const auto condition = static_cast<targets::Condition>(message.condition());
    if (core::nameOf(targets::ConditionNames, condition).empty()) {
        return core::Error{core::ErrorCode::MessageMalformed, "unknown condition of target " + message.id()};
    }
    targets::Target target;
    target.id = core::TargetId(message.id());
    target.service = core::ServiceName(message.service());
    target.domain = core::FailureDomain(message.domain());
    target.address = message.address();
    target.version = {message.incarnation(), message.sequence(), message.lease_epoch(), message.withdrawn()};
    target.condition = condition;
    target.origin = core::HostId(message.origin());
    target.slots = message.slots();
    return target;
}

void encode(const membership::ControlHost &host, ControlHost &message)
{
    message.set_id(host.id.str());
    message.set_address(host.address);
    message.set_domain(host.domain.str());
}

membership::ControlHost decode(const ControlHost &message)
{
    return {core::HostId(message.id()), message.address(), core::FailureDomain(message.domain())};
}

void encode(const changes::ActiveConfiguration &standing, Standing &message)
{
    message.set_revision(standing.revision);
    message.set_version(standing.version);
    for (const auto &[name, domain] : standing.domains) {
        auto *encoded = message.add_domains();
        encoded->set_name(name.str());
        encoded->set_out(domain.out);
        encoded->set_changes(domain.changeCount);
    }
}

namespace
{

/** Puts the file of @p message into @p standing. */
core::Status takeFile(const Standing &message,
                      const changes::ActiveConfiguration *known,
                      const configuration::FileParser &parser,
                      changes::ActiveConfiguration &standing)
{
    const bool leans = message.basis_version() != 0;
    if (leans && (known == nullptr || known->version != message.basis_version())) {
        return core::Error{core::ErrorCode::MessageMalformed, "the file of the standing leans on an unknown one"};
    }
    auto text = decompress(message.packed_text(), leans ? std::string_view(known->text) : std::string_view());
    if (!core::ok(text)) {
        return core::error(text);
    }
    auto parsed = parser(core::value(text));
    auto *configuration = std::get_if<configuration::Configuration>(&parsed);
    if (configuration == nullptr) {
        return core::Error{core::ErrorCode::MessageMalformed, "the file of the standing does not parse"};
    }
    standing.text = std::move(core::value(text));
    standing.configuration = std::make_shared<const configuration::Configuration>(std::move(*configuration));
    return std::monostate{};
}

} // namespace

core::Result<changes::ActiveConfiguration> decode(const Standing &message,
                                                  const changes::ActiveConfiguration *known,
                                                  const configuration::FileParser &parser)
{
    changes::ActiveConfiguration standing;
    standing.revision = message.revision();
    standing.version = message.version();
    if (message.has_packed_text()) {
        if (auto taken = takeFile(message, known, parser, standing); !core::ok(taken)) {
            return core::error(taken);
        }
    } else if (known != nullptr && known->version == message.version()) {
        standing.text = known->text;
        standing.configuration = known->configuration;
    } else {
        return core::Error{core::ErrorCode::MessageMalformed, "the standing leaves out a file that is not known"};
    }
    for (const auto &domain : message.domains()) {
        standing.domains[core::FailureDomain(domain.name())] = {domain.out(), domain.changes()};
    }
    return standing;
}

} // namespace pimentoshed::rpc
