#include "configuration/parser.h"

#include <fmt/format.h>
#include <toml++/toml.h>

namespace pimentoshed::configuration
{

namespace
{

core::Duration milliseconds(const toml::table &table, std::string_view key, std::int64_t otherwise)
{
    return std::chrono::milliseconds(table[key].value_or(otherwise));
}

unsigned count(const toml::table &table, std::string_view key, std::int64_t otherwise)
{
    return static_cast<unsigned>(table[key].value_or(otherwise));
}

std::vector<std::string> strings(const toml::table &table, std::string_view key)
{
    std::vector<std::string> values;
    if (const auto *array = table[key].as_array()) {
        for (const auto &element : *array) {
            values.push_back(element.value_or(std::string()));
        }
    }
    return values;
}

Service readService(std::string_view name, const toml::table &table)
{
    Service service;
    service.name = core::ServiceName(std::string(name));
    service.institution = core::InstitutionName(table["institution"].value_or(std::string()));
    service.pathPrefix = table["path_prefix"].value_or(std::string());
    service.slots = count(table, "slots", 1);
    service.coldSlots = count(table, "cold_slots", 1);
    service.warmUp = milliseconds(table, "warm_up_ms", 5000);
    service.connections = count(table, "connections", 250);
    service.deadline = milliseconds(table, "deadline_ms", 2000);
    service.maxRequestBytes = static_cast<std::uint64_t>(table["max_request_bytes"].value_or(std::int64_t{1} << 20));
    service.queueLimit = count(table, "queue_limit", 256);
    service.importance = count(table, "importance", 5);
    service.idempotentMethods = strings(table, "idempotent_methods");
    service.requestKeyHeader = table["request_key_header"].value_or(std::string("Idempotency-Key"));
    service.shedIsNotRun = table["shed_is_not_run"].value_or(false);
    service.probesPerSecond = table["probes_per_second"].value_or(1.0);
    service.retryRatio = table["retry_ratio"].value_or(0.1);
    return service;
}

Limits readLimits(const toml::table &table)
{
    Limits limits;
    limits.permission = milliseconds(table, "permission_ms", 3000);
    limits.targetLease = milliseconds(table, "target_lease_ms", 6000);
    limits.addressLifetime = milliseconds(table, "address_lifetime_ms", 5000);
    limits.addressCount = count(table, "address_count", 3);
    limits.requestKeyRetention = milliseconds(table, "request_key_retention_ms", 86400000);
    return limits;
}

void readTables(const toml::table &root, Configuration &configuration)
{
    if (const auto *institutions = root["institution"].as_table()) {
        for (const auto &[name, node] : *institutions) {
            const core::InstitutionName institution{std::string(name.str())};
            configuration.institutions.push_back({institution, count(*node.as_table(), "weight", 1)});
        }
    }
    if (const auto *services = root["service"].as_table()) {
        for (const auto &[name, node] : *services) {
            configuration.services.push_back(readService(name.str(), *node.as_table()));
        }
    }
    if (const auto *hosts = root["control_host"].as_table()) {
        for (const auto &[name, node] : *hosts) {
            const auto address = node.as_table()->at_path("address").value_or(std::string());
            configuration.controlHosts.push_back({core::HostId(std::string(name.str())), address});
        }
    }
    if (const auto *limits = root["limits"].as_table()) {
        configuration.limits = readLimits(*limits);
    }
}

} // namespace

ParseResult parse(std::string_view text)
{
    try {
        const auto root = toml::parse(text);
        Configuration configuration;
        configuration.replaces = static_cast<std::uint64_t>(root["replaces"].value_or(std::int64_t{0}));
        for (auto &name : strings(root, "failure_domains")) {
            configuration.failureDomains.emplace_back(std::move(name));
        }
        readTables(root, configuration);
        return configuration;
    } catch (const toml::parse_error &failure) {
        const auto place = failure.source().begin;
        return std::vector<Mistake>{
            {core::ErrorCode::ConfigSyntax, place.line, place.column, "", std::string(failure.description())}};
    }
}

std::string describe(const Mistake &mistake)
{
    return fmt::format("{}:{} {}: expected {} (E{} {})",
                       mistake.line,
                       mistake.column,
                       mistake.key,
                       mistake.expected,
                       static_cast<unsigned>(mistake.code),
                       core::errorName(mistake.code));
}

} // namespace pimentoshed::configuration
