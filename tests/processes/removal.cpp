#include "processes/platformfleet.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

http::Reply succeed(const ReceivedRequest & /*request*/)
{
    return {};
}

/** How long a confirmed removal may take to reach every entry host. */
constexpr auto RemovalLimit = 2s;

} // namespace

// Guards against a confirmed removal that withdraws an earlier incarnation, so that requests still reach the target.
TEST_CASE("a removal binds the latest incarnation, although the control host knows only an earlier one after a restart")
{
    PlatformFleet fleet(81, 1);
    PlatformTarget other("i-other", fleet.targetAddress(0), 1ms, succeed);
    REQUIRE(other.announce(fleet.controlAddress()) == 200);
    {
        PlatformTarget earlier("i-again", fleet.targetAddress(1), 1ms, succeed);
        REQUIRE(earlier.announce(fleet.controlAddress()) == 200);
        REQUIRE(fleet.waitUntilServing());
        REQUIRE(earlier.announce(fleet.controlAddress(), "draining") == 200);
        REQUIRE(earlier.remove(fleet.controlAddress()) == 200);
    }
    PlatformTarget later(
        "i-again", fleet.targetAddress(1), 1ms, succeed, {}, PlatformTarget::FirstIncarnation + 60'000);
    REQUIRE(later.announce(fleet.controlAddress()) == 200);
    REQUIRE(eventually(
        [&]() {
            fleet.load(40, 250ms);
            return later.requests().size() > 20;
        },
        10s));
    later.stopAnnouncing();
    fleet.restartControl();
    REQUIRE(eventually(
        [&]() {
            return later.remove(fleet.controlAddress()) == 200;
        },
        10s));
    std::this_thread::sleep_for(RemovalLimit);
    const auto before = later.requests().size();
    fleet.load(40, 2s);
    CHECK(later.requests().size() == before);
    CHECK(other.requests().size() > 40);
}
