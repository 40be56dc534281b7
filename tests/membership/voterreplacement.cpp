#include "membership/voterreplacement.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using membership::voterChangeFor;
using membership::VoterStatus;

namespace
{

consensus::MemberId member(const std::string &host, const std::string &disk = "initial")
{
    return {core::HostId(host), consensus::DiskId(disk)};
}

} // namespace

TEST_CASE("a host that lost its disk replaces its own former member")
{
    const auto change =
        voterChangeFor(member("b", "new"), {{member("a"), 0s}, {member("b"), 0s}, {member("c"), 9s}}, 3);
    REQUIRE(change);
    CHECK(change->joining == member("b", "new"));
    CHECK(change->leaving == member("b"));
}

TEST_CASE("a new member is added if there are too few voters, else it replaces the voter that is silent for longest")
{
    CHECK_FALSE(voterChangeFor(member("d"), {{member("a"), 0s}, {member("b"), 0s}}, 3)->leaving);
    const auto change = voterChangeFor(member("d"), {{member("a"), 0s}, {member("b"), 4s}, {member("c"), 3s}}, 3);
    REQUIRE(change);
    CHECK(change->leaving == member("b"));
}

TEST_CASE("no change is made while every voter responds, nor for a member that is a voter already")
{
    const std::vector<VoterStatus> voters{{member("a"), 0s}, {member("b"), 1s}, {member("c"), 500ms}};
    CHECK_FALSE(voterChangeFor(member("d"), voters, 3));
    CHECK_FALSE(voterChangeFor(member("a"), voters, 3));
}
