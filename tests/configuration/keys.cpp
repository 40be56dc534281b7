#include "configuration/keys.h"

#include "support/files.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace pimentoshed::configuration;
using pimentoshed::core::nameOf;

namespace
{

std::string pageLine(const KeyRow &row)
{
    return fmt::format(
        "| `{}` | {} | {} | {} |", row.name, describeExpectedValue(row), describeDefault(row), row.meaning);
}

} // namespace

TEST_CASE("keyTable: lists each key once, in the order of the enumeration")
{
    std::set<std::pair<Section, std::string_view>> names;
    unsigned next = 0;
    for (const auto &row : keyTable()) {
        CHECK(static_cast<unsigned>(row.key) == next++);
        CHECK(names.emplace(row.section, row.name).second);
        CHECK(&rowOf(row.key) == &row);
        CHECK(row.bounds.lower <= row.bounds.upper);
    }
    CHECK(next == static_cast<unsigned>(Key::HedgeRatio) + 1);
}

TEST_CASE("docs/CONFIGURATION.md lists exactly the keys of keyTable")
{
    const auto page = support::readFile(PIMENTOSHED_SOURCE "/docs/CONFIGURATION.md");
    std::size_t lines = 0;
    for (std::size_t at = page.find("\n| `"); at != std::string::npos; at = page.find("\n| `", at + 1)) {
        ++lines;
    }
    CHECK(lines == keyTable().size());
    for (const auto &row : keyTable()) {
        CHECK_THAT(page, Catch::Matchers::Contains(pageLine(row)));
    }
}
