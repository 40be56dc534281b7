#include "control/filecompressor.h"

#include "rpc/compression.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

namespace
{

std::shared_ptr<const changes::ActiveConfiguration> makeConfiguration(std::uint64_t version)
{
    auto configuration = std::make_shared<changes::ActiveConfiguration>();
    configuration->version = version;
    configuration->text = std::string(2000, 'x') + std::to_string(version);
    return configuration;
}

} // namespace

TEST_CASE("a file is compressed as a difference for a host a few versions behind, and whole for a host further behind")
{
    control::FileCompressor compressor;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        compressor.addBase(makeConfiguration(version));
    }
    const auto newest = makeConfiguration(20);
    const auto difference = compressor.compress(newest, 18);
    CHECK(difference.baseVersion == 18);
    CHECK(core::value(rpc::decompress(difference.bytes, makeConfiguration(18)->text)) == newest->text);
    for (const std::uint64_t version : {0, 2, 77}) {
        const auto whole = compressor.compress(newest, version);
        CHECK(whole.baseVersion == 0);
        CHECK(core::value(rpc::decompress(whole.bytes)) == newest->text);
    }
}

TEST_CASE("a file that is not the newest version is compressed too")
{
    control::FileCompressor compressor;
    compressor.addBase(makeConfiguration(3));
    compressor.addBase(makeConfiguration(4));
    const auto compressed = compressor.compress(makeConfiguration(3), 0);
    CHECK(core::value(rpc::decompress(compressed.bytes)) == makeConfiguration(3)->text);
}
