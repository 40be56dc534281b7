/**
 * @file
 * Table of the keys of the operator's file: section, name, type, unit, default, bounds and format of each.
 */
#pragma once

#include "configuration/formats.h"
#include "core/enumtable.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace pimentoshed::configuration
{

/** A kind of TOML table in the file; File is the top level. */
enum class Section : std::uint8_t {
    File,
    Limits,
    Institution,
    Workspace,
    ControlHost,
    Service,
};

inline constexpr std::array SectionNames{
    core::EnumName<Section>{Section::File, ""},
    core::EnumName<Section>{Section::Limits, "limits"},
    core::EnumName<Section>{Section::Institution, "institution"},
    core::EnumName<Section>{Section::Workspace, "workspace"},
    core::EnumName<Section>{Section::ControlHost, "control_host"},
    core::EnumName<Section>{Section::Service, "service"},
};

enum class ValueType : std::uint8_t {
    Integer,
    Number,
    Boolean,
    String,
    StringList,
};

inline constexpr std::array ValueTypeNames{
    core::EnumName<ValueType>{ValueType::Integer, "an integer"},
    core::EnumName<ValueType>{ValueType::Number, "a number"},
    core::EnumName<ValueType>{ValueType::Boolean, "true or false"},
    core::EnumName<ValueType>{ValueType::String, "a string"},
    core::EnumName<ValueType>{ValueType::StringList, "a list of strings"},
};

enum class Unit : std::uint8_t {
    None,
    Milliseconds,
    Bytes,
    PerSecond,
    Requests,
    Connections,
    Addresses,
    Keys,
};

inline constexpr std::array UnitNames{
    core::EnumName<Unit>{Unit::None, ""},
    core::EnumName<Unit>{Unit::Milliseconds, "ms"},
    core::EnumName<Unit>{Unit::Bytes, "bytes"},
    core::EnumName<Unit>{Unit::PerSecond, "per second"},
    core::EnumName<Unit>{Unit::Requests, "requests"},
    core::EnumName<Unit>{Unit::Connections, "connections"},
    core::EnumName<Unit>{Unit::Addresses, "addresses"},
    core::EnumName<Unit>{Unit::Keys, "request keys"},
};

enum class Key : std::uint8_t {
    Replaces,
    FailureDomains,
    Permission,
    TargetLease,
    AddressLifetime,
    AddressCount,
    RequestKeyRetention,
    RequestKeyCapacity,
    Weight,
    WorkspaceKeys,
    WorkspaceImportance,
    RequestsPerSecond,
    Burst,
    Address,
    Institution,
    PathPrefix,
    Slots,
    ColdSlots,
    WarmUp,
    Connections,
    Deadline,
    MaxRequestBytes,
    QueueLimit,
    Importance,
    Public,
    IdempotentMethods,
    RequestKeyHeader,
    ShedIsNotRun,
    ProbesPerSecond,
    RetryRatio,
    HedgeRatio,
};

/** The key has no default: the file must contain it. */
struct Required {
};

/** The default of the key is an empty list. */
struct EmptyList {
};

/** The key has no default: without it, its member stays unset. */
struct Unset {
};

using DefaultValue = std::variant<Required, EmptyList, Unset, std::int64_t, double, bool, std::string_view>;

/** Limits of a number, of the length of a string in bytes, or of the number of elements of a list; both inclusive. */
struct Bounds {
    double lower = 0;
    double upper = 0;
};

/** One key of the file. */
struct KeyRow {
    Key key;
    Section section;
    std::string_view name;
    ValueType type;
    Unit unit;
    DefaultValue defaultValue;
    Bounds bounds;
    /** The format of the string, or of each string in a list. */
    Format format;
    std::string_view meaning;
};

/** Returns all keys in the order of Key, which groups them by section. */
std::span<const KeyRow> keyTable();

/** Returns the row of the key called @p name in @p section, or nullptr. */
const KeyRow *findKey(Section section, std::string_view name);

const KeyRow &rowOf(Key key);

/** Describes the values that @p row accepts, such as "an integer from 1 to 10000 (requests)". */
std::string describeExpectedValue(const KeyRow &row);

/** Returns the default of @p row in TOML syntax, "required" or "none". */
std::string describeDefault(const KeyRow &row);

} // namespace pimentoshed::configuration
