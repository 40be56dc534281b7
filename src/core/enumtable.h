/**
 * @file
 * Names for the values of an enumeration, held in one constant table.
 */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pimentoshed::core
{

/** One row of an enumeration's table. */
template<typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

/** The name of @p value, or an empty view where the table has no such row. */
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

/** The value called @p name, if the table has one. */
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
