#include "rpc/codec.h"

#include "rpc/compression.h"

#include <algorithm>
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
    message.set_software_version(target.softwareVersion);
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
    target.softwareVersion = message.software_version();
    if (const auto checked = targets::checkNames(target); !core::ok(checked)) {
        return core::error(checked);
    }
    target.version = {message.incarnation(), message.sequence(), message.lease_epoch(), message.withdrawn()};
    target.condition = condition;
    target.origin = core::HostId(message.origin());
    target.slots = message.slots();
    return target;
}

void encode(const rollouts::Rollout &rollout, Rollout &message)
{
    message.set_service(rollout.order.service.str());
    message.set_software_version(rollout.order.softwareVersion);
    message.set_over_ms(core::toMilliseconds(rollout.order.over));
    message.set_number(rollout.number);
    message.set_state(static_cast<std::uint32_t>(rollout.state));
    message.set_step(rollout.step);
    message.set_reason(static_cast<std::uint32_t>(rollout.reason));
    message.set_elapsed_ms(core::toMilliseconds(rollout.elapsed));
    message.set_revision(rollout.revision);
    message.set_version(rollout.version);
}

core::Result<rollouts::Rollout> decode(const Rollout &message)
{
    rollouts::Rollout rollout;
    rollout.order = {
        core::ServiceName(message.service()), message.software_version(), std::chrono::milliseconds(message.over_ms())};
    rollout.number = message.number();
    rollout.state = static_cast<rollouts::State>(message.state());
    rollout.step = message.step();
    rollout.reason = static_cast<rollouts::Reason>(message.reason());
    rollout.elapsed = std::chrono::milliseconds(message.elapsed_ms());
    rollout.revision = message.revision();
    rollout.version = message.version();
    if (!rollouts::isValid(rollout)) {
        return core::Error{core::ErrorCode::MessageMalformed, "rollout of " + message.service()};
    }
    return rollout;
}

namespace
{

void encode(const rollouts::Counts &counts, ResponseCounts &message)
{
    message.set_responses(counts.responses);
    message.set_failures(counts.failures);
    const auto end = std::find_if(counts.durations.rbegin(), counts.durations.rend(), [](std::uint64_t count) {
                         return count > 0;
                     }).base();
    message.mutable_durations()->Add(counts.durations.begin(), end);
}

rollouts::Counts decode(const ResponseCounts &message)
{
    rollouts::Counts counts;
    counts.responses = message.responses();
    counts.failures = std::min(message.failures(), counts.responses);
    const auto size = std::min(message.durations_size(), static_cast<int>(counts.durations.size()));
    std::copy_n(message.durations().begin(), size, counts.durations.begin());
    return counts;
}

} // namespace

void encode(const rollouts::HostCounts &counts, VersionCounts &message)
{
    message.set_host(counts.host.str());
    message.set_incarnation(counts.incarnation);
    message.set_service(counts.service.str());
    message.set_rollout(counts.number);
    message.set_route(counts.route.str());
    encode(counts.counts.newVersion, *message.mutable_new_version());
    encode(counts.counts.oldVersions, *message.mutable_old_versions());
}

rollouts::HostCounts decode(const VersionCounts &message)
{
    return {core::HostId(message.host()),
            message.incarnation(),
            core::ServiceName(message.service()),
            message.rollout(),
            core::RouteName(message.route()),
            {decode(message.new_version()), decode(message.old_versions())}};
}

std::vector<rollouts::HostCounts> decodeCounts(const ReportRequest &message)
{
    std::vector<rollouts::HostCounts> counts;
    for (const auto &encoded : message.version_counts()) {
        counts.push_back(decode(encoded));
    }
    return counts;
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
    for (const auto &[service, rollout] : active.rollouts) {
        encode(rollout, *message.add_rollouts());
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
    for (const auto &encoded : message.rollouts()) {
        auto rollout = decode(encoded);
        if (!core::ok(rollout)) {
            return core::error(rollout);
        }
        auto &decoded = core::value(rollout);
        active.rollouts.insert_or_assign(decoded.order.service, decoded);
    }
    return active;
}

} // namespace pimentoshed::rpc
