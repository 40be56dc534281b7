#include "configuration/keys.h"

#include <algorithm>
#include <fmt/format.h>
#include <type_traits>

namespace pimentoshed::configuration
{

namespace
{

constexpr double MaxVersion = 9007199254740992; // 2^53: exact as a double
constexpr double MaxDomains = 64;
constexpr double DayMs = 86400000;
constexpr double MiB = 1048576;
/** Keys in one workspace: one for each program of its callers, twice that while they are replaced. */
constexpr double MaxWorkspaceKeys = 64;
/** As many requests per second as the users name for the whole system (docs/CAPACITY.md), rounded up. */
constexpr double MaxRequestsPerSecond = 2000000;

constexpr std::array Keys{
    KeyRow{Key::Replaces,
           Section::File,
           "replaces",
           ValueType::Integer,
           Unit::None,
           Required{},
           {0, MaxVersion},
           Format::Any,
           "the version that this file replaces; 0 for the first file"},
    KeyRow{Key::FailureDomains,
           Section::File,
           "failure_domains",
           ValueType::StringList,
           Unit::None,
           Required{},
           {1, MaxDomains},
           Format::Name,
           "every failure domain that hosts and targets may name"},
    KeyRow{Key::Permission,
           Section::Limits,
           "permission_ms",
           ValueType::Integer,
           Unit::Milliseconds,
           std::int64_t{3000},
           {500, 10000},
           Format::Any,
           "how long an entry host may act on its configuration after it was last confirmed to be current"},
    KeyRow{Key::TargetLease,
           Section::Limits,
           "target_lease_ms",
           ValueType::Integer,
           Unit::Milliseconds,
           std::int64_t{6000},
           {500, 60000},
           Format::Any,
           "how long a target counts as present after its last renewal"},
    KeyRow{Key::AddressLifetime,
           Section::Limits,
           "address_lifetime_ms",
           ValueType::Integer,
           Unit::Milliseconds,
           std::int64_t{5000},
           {100, 60000},
           Format::Any,
           "how long callers may cache a list of addresses"},
    KeyRow{Key::AddressCount,
           Section::Limits,
           "address_count",
           ValueType::Integer,
           Unit::Addresses,
           std::int64_t{3},
           {2, 16},
           Format::Any,
           "addresses in one list for a caller"},
    KeyRow{Key::RequestKeyRetention,
           Section::Limits,
           "request_key_retention_ms",
           ValueType::Integer,
           Unit::Milliseconds,
           std::int64_t{86400000},
           {1000, 30 * DayMs},
           Format::Any,
           "how long the system remembers that a request key was used; at least twice the longest deadline"},
    KeyRow{Key::RequestKeyCapacity,
           Section::Limits,
           "request_key_capacity",
           ValueType::Integer,
           Unit::Keys,
           std::int64_t{200000},
           {1, 10000000},
           Format::Any,
           "request keys that the system remembers at once, shared between institutions by weight"},
    KeyRow{Key::Weight,
           Section::Institution,
           "weight",
           ValueType::Integer,
           Unit::None,
           std::int64_t{1},
           {1, 1000},
           Format::Any,
           "share of contended capacity relative to the other institutions"},
    KeyRow{Key::WorkspaceKeys,
           Section::Workspace,
           "keys",
           ValueType::StringList,
           Unit::None,
           Required{},
           {0, MaxWorkspaceKeys},
           Format::WorkspaceKey,
           "the keys by which requests belong to the workspace; no two workspaces share one"},
    KeyRow{Key::WorkspaceImportance,
           Section::Workspace,
           "importance",
           ValueType::Integer,
           Unit::None,
           Unset{},
           {0, 9},
           Format::Any,
           "takes precedence over the importance of the service"},
    KeyRow{Key::RequestsPerSecond,
           Section::Workspace,
           "requests_per_second",
           ValueType::Number,
           Unit::PerSecond,
           0.0,
           {0, MaxRequestsPerSecond},
           Format::Any,
           "requests of the workspace over all entry hosts together; 0 for no limit"},
    KeyRow{Key::Burst,
           Section::Workspace,
           "burst",
           ValueType::Number,
           Unit::Requests,
           0.0,
           {0, MaxRequestsPerSecond},
           Format::Any,
           "requests above `requests_per_second` that may come at once"},
    KeyRow{Key::Address,
           Section::ControlHost,
           "address",
           ValueType::String,
           Unit::None,
           Required{},
           {1, 64},
           Format::Address,
           "where the other hosts reach this control host"},
    KeyRow{Key::Institution,
           Section::Service,
           "institution",
           ValueType::String,
           Unit::None,
           Required{},
           {1, 64},
           Format::Name,
           "the institution that the service belongs to"},
    KeyRow{Key::PathPrefix,
           Section::Service,
           "path_prefix",
           ValueType::String,
           Unit::None,
           Required{},
           {1, 256},
           Format::PathPrefix,
           "requests whose path starts with this belong to the service"},
    KeyRow{Key::Slots,
           Section::Service,
           "slots",
           ValueType::Integer,
           Unit::Requests,
           std::int64_t{1},
           {1, 10000},
           Format::Any,
           "requests that a warm target processes concurrently"},
    KeyRow{Key::ColdSlots,
           Section::Service,
           "cold_slots",
           ValueType::Integer,
           Unit::Requests,
           std::int64_t{1},
           {1, 10000},
           Format::Any,
           "requests that a cold target processes concurrently; at most `slots`"},
    KeyRow{Key::WarmUp,
           Section::Service,
           "warm_up_ms",
           ValueType::Integer,
           Unit::Milliseconds,
           std::int64_t{5000},
           {0, 3600000},
           Format::Any,
           "how long a target that does not announce when it is warm is treated as cold after its start"},
    KeyRow{Key::Connections,
           Section::Service,
           "connections",
           ValueType::Integer,
           Unit::Connections,
           std::int64_t{250},
           {1, 100000},
           Format::Any,
           "connections to one target from all entry hosts together; at least `slots`"},
    KeyRow{Key::Deadline,
           Section::Service,
           "deadline_ms",
           ValueType::Integer,
           Unit::Milliseconds,
           std::int64_t{2000},
           {1, 600000},
           Format::Any,
           "default deadline of a request, and the longest that its caller may set"},
    KeyRow{Key::MaxRequestBytes,
           Section::Service,
           "max_request_bytes",
           ValueType::Integer,
           Unit::Bytes,
           std::int64_t{1048576},
           {0, 1024 * MiB},
           Format::Any,
           "the largest request body"},
    KeyRow{Key::QueueLimit,
           Section::Service,
           "queue_limit",
           ValueType::Integer,
           Unit::Requests,
           std::int64_t{256},
           {0, 100000},
           Format::Any,
           "requests that may wait in the queue of one entry host"},
    KeyRow{Key::Importance,
           Section::Service,
           "importance",
           ValueType::Integer,
           Unit::None,
           std::int64_t{5},
           {0, 9},
           Format::Any,
           "requests of lower importance are shed first"},
    KeyRow{Key::Public,
           Section::Service,
           "public",
           ValueType::Boolean,
           Unit::None,
           false,
           {0, 1},
           Format::Any,
           "whether requests need no key of a workspace"},
    KeyRow{Key::IdempotentMethods,
           Section::Service,
           "idempotent_methods",
           ValueType::StringList,
           Unit::None,
           EmptyList{},
           {0, 9},
           Format::Method,
           "requests with these methods may run more than once"},
    KeyRow{Key::RequestKeyHeader,
           Section::Service,
           "request_key_header",
           ValueType::String,
           Unit::None,
           std::string_view("Idempotency-Key"),
           {1, 64},
           Format::HeaderName,
           "the header that carries the key of a non-idempotent request"},
    KeyRow{Key::ShedIsNotRun,
           Section::Service,
           "shed_is_not_run",
           ValueType::Boolean,
           Unit::None,
           false,
           {0, 1},
           Format::Any,
           "whether a 503 sent by the target itself proves that the request was not executed"},
    KeyRow{Key::ProbesPerSecond,
           Section::Service,
           "probes_per_second",
           ValueType::Number,
           Unit::PerSecond,
           1.0,
           {0, 1000},
           Format::Any,
           "probes sent to one target by all entry hosts together"},
    KeyRow{Key::RetryRatio,
           Section::Service,
           "retry_ratio",
           ValueType::Number,
           Unit::None,
           0.1,
           {0, 1},
           Format::Any,
           "retries, as a share of first attempts"},
    KeyRow{Key::HedgeRatio,
           Section::Service,
           "hedge_ratio",
           ValueType::Number,
           Unit::None,
           0.0,
           {0, 1},
           Format::Any,
           "second attempts beside a slow first one, as a share of first attempts; they also count as retries"},
};

std::string describeTypeAndBounds(const KeyRow &row)
{
    const auto type = core::nameOf(ValueTypeNames, row.type);
    const auto rule = describeFormat(row.format);
    const auto &[lower, upper] = row.bounds;
    if (row.type == ValueType::Boolean) {
        return std::string(type);
    }
    if (row.type == ValueType::StringList) {
        return fmt::format("{}, {:.0f} to {:.0f} of them, each {}", type, lower, upper, rule);
    }
    if (row.type == ValueType::String && row.format == Format::Name) {
        return fmt::format("{}, {}", type, rule);
    }
    if (row.type == ValueType::String) {
        return fmt::format("{}, {}, at most {:.0f} characters", type, rule, upper);
    }
    return fmt::format("{} from {:.0f} to {:.0f}", type, lower, upper);
}

} // namespace

std::span<const KeyRow> keyTable()
{
    return Keys;
}

const KeyRow *findKey(Section section, std::string_view name)
{
    const auto found = std::find_if(Keys.begin(), Keys.end(), [section, name](const KeyRow &row) {
        return row.section == section && row.name == name;
    });
    return found == Keys.end() ? nullptr : &*found;
}

const KeyRow &rowOf(Key key)
{
    return *std::find_if(Keys.begin(), Keys.end(), [key](const KeyRow &row) {
        return row.key == key;
    });
}

std::string describeExpectedValue(const KeyRow &row)
{
    const auto unit = core::nameOf(UnitNames, row.unit);
    return unit.empty() ? describeTypeAndBounds(row) : fmt::format("{} ({})", describeTypeAndBounds(row), unit);
}

std::string describeDefault(const KeyRow &row)
{
    return std::visit(
        [](const auto &value) -> std::string {
            using Type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Type, Required>) {
                return "required";
            } else if constexpr (std::is_same_v<Type, EmptyList>) {
                return "[]";
            } else if constexpr (std::is_same_v<Type, Unset>) {
                return "none";
            } else if constexpr (std::is_same_v<Type, std::string_view>) {
                return fmt::format("\"{}\"", value);
            } else {
                return fmt::format("{}", value);
            }
        },
        row.defaultValue);
}

} // namespace pimentoshed::configuration
