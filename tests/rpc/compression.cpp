#include "rpc/compression.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace pimentoshed;

namespace
{

std::string makeFile(int routes, int changed = -1)
{
    std::string text;
    for (int i = 0; i < routes; ++i) {
        text += fmt::format(
            "[route.r{}]\nhost = \"h{}.example\"\nservice = \"s{}\"\n", i * 7919, i, i == changed ? 99 : i % 7);
    }
    return text;
}

} // namespace

TEST_CASE("a packed file comes back whole")
{
    for (const auto &text : {std::string(), std::string("x"), makeFile(4000)}) {
        const auto unpacked = rpc::decompress(rpc::compress(text));
        REQUIRE(core::ok(unpacked));
        CHECK(core::value(unpacked) == text);
    }
}

TEST_CASE("a small change of a large file travels small")
{
    const auto before = makeFile(4000);
    const auto after = makeFile(4000, 2000);
    const auto packed = rpc::compress(after, before);
    CHECK(packed.size() < 1000);
    const auto unpacked = rpc::decompress(packed, before);
    REQUIRE(core::ok(unpacked));
    CHECK(core::value(unpacked) == after);
}

TEST_CASE("a file that leans on another text, or is cut short, is refused")
{
    const auto before = makeFile(100);
    const auto packed = rpc::compress(makeFile(100, 5), before);
    for (const auto &result : {rpc::decompress(packed, makeFile(100, 6)),
                               rpc::decompress(packed),
                               rpc::decompress(packed.substr(0, packed.size() / 2), before),
                               rpc::decompress("not packed")}) {
        REQUIRE_FALSE(core::ok(result));
        CHECK(core::error(result).code == core::ErrorCode::MessageMalformed);
    }
}
