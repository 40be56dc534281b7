#include "rpc/compression.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace pimentoshed;

namespace
{

std::string makeFile(int routes, int changedRoute = -1)
{
    std::string text;
    for (int i = 0; i < routes; ++i) {
        text += fmt::format(
            "[route.r{}]\nhost = \"h{}.example\"\nservice = \"s{}\"\n", i * 7919, i, i == changedRoute ? 99 : i % 7);
    }
    return text;
}

} // namespace

TEST_CASE("decompress returns the text that was compressed")
{
    for (const auto &text : {std::string(), std::string("x"), makeFile(4000)}) {
        const auto decompressed = rpc::decompress(rpc::compress(text));
        REQUIRE(core::ok(decompressed));
        CHECK(core::value(decompressed) == text);
    }
}

TEST_CASE("compress needs few bytes for a large file that differs little from the reference text")
{
    const auto before = makeFile(4000);
    const auto after = makeFile(4000, 2000);
    const auto compressed = rpc::compress(after, before);
    CHECK(compressed.size() < 1000);
    const auto decompressed = rpc::decompress(compressed, before);
    REQUIRE(core::ok(decompressed));
    CHECK(core::value(decompressed) == after);
}

TEST_CASE("decompress refuses another reference text, truncated data and data that is not compressed")
{
    const auto before = makeFile(100);
    const auto compressed = rpc::compress(makeFile(100, 5), before);
    for (const auto &result : {rpc::decompress(compressed, makeFile(100, 6)),
                               rpc::decompress(compressed),
                               rpc::decompress(compressed.substr(0, compressed.size() / 2), before),
                               rpc::decompress("not packed")}) {
        REQUIRE_FALSE(core::ok(result));
        CHECK(core::error(result).code == core::ErrorCode::MessageMalformed);
    }
}
