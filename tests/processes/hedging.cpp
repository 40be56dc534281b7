#include "processes/platformfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

TEST_CASE("reads at a target that turns slow are answered by another one long before it")
{
    constexpr auto SlowTime = 700ms;
    PlatformFleet fleet(171, 1);
    const auto answer = [](const ReceivedRequest &) {
        return http::Reply{};
    };
    PlatformTarget slow("i-slow", fleet.targetAddress(0), 5ms, answer);
    PlatformTarget steady("i-steady", fleet.targetAddress(1), 5ms, answer);
    REQUIRE(slow.announce(fleet.controlAddress()) == 200);
    REQUIRE(steady.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    // For an estimate of the usual response times, and for the budget of second attempts.
    fleet.load(80, 5s);
    slow.setProcessingTime(SlowTime);
    const auto slowBefore = slow.requests().size();
    for (int i = 0; i < 20 && slow.requests().size() == slowBefore; ++i) {
        const auto start = core::steadyNow();
        const auto response = fleet.request(0);
        REQUIRE(core::ok(response));
        CHECK(core::value(response).status == 200);
        CHECK(core::steadyNow() - start < SlowTime / 2);
    }
    CHECK(slow.requests().size() > slowBefore);
}
