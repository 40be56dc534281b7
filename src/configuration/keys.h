/**
 * @file
 * Every key of the operator's file as data: where it stands, its type, unit, default and bounds.
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

/** A kind of table in the file. */
enum class Section : std::uint8_t {
    File,
    Limits,
    Institution,
    ControlHost,
    Service,
};

inline constexpr std::array SectionNames{
    core::EnumName<Section>{Section::File, ""},
    core::EnumName<Section>{Section::Limits, "limits"},
    core::EnumName<Section>{Section::Institution, "institution"},
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
    IdempotentMethods,
    RequestKeyHeader,
    ShedIsNotRun,
    ProbesPerSecond,
    RetryRatio,
};

/** Stands for "must be given". */
struct Required {
};

/** Stands for "an empty list". */
struct EmptyList {
};

using DefaultValue = std::variant<Required, EmptyList, std::int64_t, double, bool, std::string_view>;

/** The least and greatest value; of a list, the least and greatest number of elements. */
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
    DefaultValue otherwise;
    Bounds bounds;
    /** The rule for the string, or for each string of a list. */
    Format format;
    std::string_view meaning;
};

/** Every key, by section. */
std::span<const KeyRow> keyTable();

/** The row of the key that @p section calls @p name, or nullptr. */
const KeyRow *findKey(Section section, std::string_view name);

const KeyRow &rowOf(Key key);

/** What a value of @p row must be: "an integer from 1 to 10000 (requests)". */
std::string expectation(const KeyRow &row);

/** The default of @p row as it would stand in a file, or "required". */
std::string describeDefault(const KeyRow &row);

} // namespace pimentoshed::configuration
