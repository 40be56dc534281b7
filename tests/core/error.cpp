#include "core/error.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

using namespace pimentoshed::core;

TEST_CASE("errorTable: codes ascend, and each has its name and a meaning")
{
    unsigned last = 0;
    for (const auto &row : errorTable()) {
        CHECK(static_cast<unsigned>(row.code) > last);
        last = static_cast<unsigned>(row.code);
        CHECK(errorName(row.code) == row.name);
        CHECK(!row.meaning.empty());
    }
}

TEST_CASE("docs/ERRORS.md lists exactly the codes of errorTable")
{
    std::ifstream page(PIMENTOSHED_SOURCE "/docs/ERRORS.md");
    const std::string text(std::istreambuf_iterator<char>(page), {});
    std::size_t rows = 0;
    for (std::size_t at = text.find("\n| E"); at != std::string::npos; at = text.find("\n| E", at + 1)) {
        ++rows;
    }
    CHECK(rows == errorTable().size());
    for (const auto &row : errorTable()) {
        const auto line = fmt::format("| E{} | {} | {} |", static_cast<unsigned>(row.code), row.name, row.meaning);
        CHECK_THAT(text, Catch::Matchers::Contains(line));
    }
}
