#include "control/filepacker.h"

#include "rpc/compression.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

namespace
{

std::shared_ptr<const changes::ActiveConfiguration> makeStanding(std::uint64_t version)
{
    auto standing = std::make_shared<changes::ActiveConfiguration>();
    standing->version = version;
    standing->text = std::string(2000, 'x') + std::to_string(version);
    return standing;
}

} // namespace

TEST_CASE("a host that missed a few versions is sent the difference, one that missed many the whole file")
{
    control::FilePacker packer;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        packer.note(makeStanding(version));
    }
    const auto newest = makeStanding(20);
    const auto near = packer.pack(newest, 18);
    CHECK(near.basis == 18);
    CHECK(core::value(rpc::decompress(near.bytes, makeStanding(18)->text)) == newest->text);
    for (const std::uint64_t version : {0, 2, 77}) {
        const auto whole = packer.pack(newest, version);
        CHECK(whole.basis == 0);
        CHECK(core::value(rpc::decompress(whole.bytes)) == newest->text);
    }
}

TEST_CASE("a standing that is not the newest is packed all the same")
{
    control::FilePacker packer;
    packer.note(makeStanding(3));
    packer.note(makeStanding(4));
    const auto packed = packer.pack(makeStanding(3), 0);
    CHECK(core::value(rpc::decompress(packed.bytes)) == makeStanding(3)->text);
}
