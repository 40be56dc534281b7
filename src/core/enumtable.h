/**
 * @file
 * Constant tables of the names of enumerators, with look-up in both directions.
 */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pimentoshed::core
{

/** One row of such a table: an enumerator and its name. */
template<typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

/** Returns the name of @p value, or an empty view if the table has no row for it. */
template<typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const auto &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return {};
}

/** Returns the value named @p name, or std::nullopt if the table has no row for it. */
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, Size> &table, std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace pimentoshed::core
