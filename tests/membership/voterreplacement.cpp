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

TEST_CASE("a host that lost its disk takes its own seat, as another member")
{
    const auto change =
        voterChangeFor(member("b", "new"), {{member("a"), 0s}, {member("b"), 0s}, {member("c"), 9s}}, 3);
    REQUIRE(change);
    CHECK(change->joining == member("b", "new"));
    CHECK(change->leaving == member("b"));
}

TEST_CASE("a newcomer takes a free seat, or that of the member that is silent for longest")
{
    CHECK_FALSE(voterChangeFor(member("d"), {{member("a"), 0s}, {member("b"), 0s}}, 3)->leaving);
    const auto change = voterChangeFor(member("d"), {{member("a"), 0s}, {member("b"), 4s}, {member("c"), 3s}}, 3);
    REQUIRE(change);
    CHECK(change->leaving == member("b"));
}

TEST_CASE("a newcomer waits while every member is heard, and a member needs no other seat")
{
    const std::vector<VoterStatus> seats{{member("a"), 0s}, {member("b"), 1s}, {member("c"), 500ms}};
    CHECK_FALSE(voterChangeFor(member("d"), seats, 3));
    CHECK_FALSE(voterChangeFor(member("a"), seats, 3));
}
