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

void encode(const membership::HostUpdate &update, FollowReply &message)
{
    message.set_hosts_whole(update.isSnapshot);
    for (const auto &host : update.hosts) {
        encode(host, *message.add_hosts());
    }
    for (const auto &id : update.removed) {
        message.add_gone_hosts(id.str());
    }
}

membership::HostUpdate decodeHosts(const FollowReply &message)
{
    membership::HostUpdate update;
    update.isSnapshot = message.hosts_whole();
    update.hosts.reserve(static_cast<std::size_t>(message.hosts_size()));
    for (const auto &host : message.hosts()) {
        update.hosts.push_back(decode(host));
    }
    for (const auto &id : message.gone_hosts()) {
        update.removed.emplace_back(id);
    }
    return update;
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

void encode(const changes::ActiveConfiguration &active, Standing &message)
{
    message.set_revision(active.revision);
    message.set_version(active.version);
    for (const auto &[name, domain] : active.domains) {
        auto *encoded = message.add_domains();
        encoded->set_name(name.str());
        encoded->set_out(domain.out);
        encoded->set_changes(domain.changeCount);
    }
}

namespace
{

/** Sets the text and the configuration of @p active from the compressed file of @p message. */
core::Status decodeFile(const Standing &message,
                        const changes::ActiveConfiguration *current,
                        const configuration::FileParser &parser,
                        changes::ActiveConfiguration &active)
{
    const bool hasReference = message.basis_version() != 0;
    if (hasReference && (current == nullptr || current->version != message.basis_version())) {
        return core::Error{core::ErrorCode::MessageMalformed,
                           "the configuration file is compressed against a version that this host does not have"};
    }
    auto text = decompress(message.packed_text(), hasReference ? std::string_view(current->text) : std::string_view());
    if (!core::ok(text)) {
        return core::error(text);
    }
    auto parsed = parser(core::value(text));
    auto *configuration = std::get_if<configuration::Configuration>(&parsed);
    if (configuration == nullptr) {
        return core::Error{core::ErrorCode::MessageMalformed, "the configuration file of the message does not parse"};
    }
    active.text = std::move(core::value(text));
    active.configuration = std::make_shared<const configuration::Configuration>(std::move(*configuration));
    return std::monostate{};
}

} // namespace

core::Result<changes::ActiveConfiguration> decode(const Standing &message,
                                                  const changes::ActiveConfiguration *current,
                                                  const configuration::FileParser &parser)
{
    changes::ActiveConfiguration active;
    active.revision = message.revision();
    active.version = message.version();
    if (message.has_packed_text()) {
        if (auto status = decodeFile(message, current, parser, active); !core::ok(status)) {
            return core::error(status);
        }
    } else if (current != nullptr && current->version == message.version()) {
        active.text = current->text;
        active.configuration = current->configuration;
    } else {
        return core::Error{core::ErrorCode::MessageMalformed,
                           "the message omits a configuration file that this host does not have"};
    }
    for (const auto &domain : message.domains()) {
        active.domains[core::FailureDomain(domain.name())] = {domain.out(), domain.changes()};
    }
    return active;
}

} // namespace pimentoshed::rpc
