#include "rpc/codec.h"
#include "rpc/commandcodec.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

TEST_CASE("The commands of rollouts are decoded as they were encoded")
{
    const changes::StartRollout start{core::ChangeId("a"), {core::ServiceName("s"), "v2", 16s}, 3};
    const auto started = rpc::decodeCommand(rpc::encodeCommand(changes::Change(start)));
    REQUIRE(core::ok(started));
    CHECK(core::value(started) == rpc::Command(changes::Change(start)));
    const changes::MoveRollout move{core::ServiceName("s"),
                                    {3, 2, rollouts::MoveKind::RollBack, rollouts::Reason::Durations, 7250ms}};
    const auto moved = rpc::decodeCommand(rpc::encodeCommand(move));
    REQUIRE(core::ok(moved));
    CHECK(core::value(moved) == rpc::Command(move));
}

TEST_CASE("A move of a kind that is unknown is refused")
{
    changes::MoveRollout move{core::ServiceName("s"), {}};
    move.move.kind = static_cast<rollouts::MoveKind>(9);
    CHECK_FALSE(core::ok(rpc::decodeCommand(rpc::encodeCommand(move))));
}

TEST_CASE("Counts are decoded as they were encoded")
{
    rollouts::HostCounts counts{core::HostId("e"), 7, core::ServiceName("s"), 3, core::RouteName("r"), {}};
    counts.counts.newVersion.responses = 12;
    counts.counts.newVersion.failures = 2;
    counts.counts.newVersion.durations.at(4) = 10;
    counts.counts.oldVersions.responses = 300;
    counts.counts.oldVersions.durations.back() = 300;
    rpc::ReportRequest request;
    rpc::encode(counts, *request.add_version_counts());
    CHECK(request.version_counts(0).new_version().durations_size() == 5);
    CHECK(rpc::decodeCounts(request) == std::vector{counts});
}
