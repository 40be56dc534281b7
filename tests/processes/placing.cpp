#include "processes/platformfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

TargetScript reportsLoad(const std::string &load)
{
    return [load](const ReceivedRequest &) {
        http::Reply reply;
        reply.headers.emplace_back("X-Load", load);
        return reply;
    };
}

/** How long @p fleet takes to answer a read whose caller has @p timeLeft left. Fails the test unless it succeeds. */
core::Duration timeOfLateRequest(const PlatformFleet &fleet, std::chrono::milliseconds timeLeft)
{
    const auto start = core::steadyNow();
    const auto answer = fleet.lateRequest(0, timeLeft);
    REQUIRE(core::ok(answer));
    CHECK(core::value(answer).status == 200);
    return core::steadyNow() - start;
}

} // namespace

TEST_CASE("a late request leaves scarce slots to others for a third of its time, and takes idle ones at once")
{
    // The objective is 400 ms of 3 s, so a caller with 1.8 s left is late.
    constexpr auto TimeLeft = 1800ms;
    PlatformFleet fleet(80, 1, 3s);
    std::atomic<bool> isBusy{false};
    PlatformTarget target("i-busy", fleet.targetAddress(0), 5ms, [&isBusy](const ReceivedRequest &request) {
        return reportsLoad(isBusy ? "4,0,6,100" : "0,0,6,100")(request);
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    CHECK(timeOfLateRequest(fleet, TimeLeft) < TimeLeft / 6);
    isBusy = true;
    const auto start = core::steadyNow();
    const auto answer = fleet.request(0);
    REQUIRE(core::ok(answer));
    CHECK(core::value(answer).status == 200);
    CHECK(core::steadyNow() - start < TimeLeft / 6);
    const auto late = timeOfLateRequest(fleet, TimeLeft);
    CHECK(late > TimeLeft / 6);
    CHECK(late < TimeLeft / 2);
}

TEST_CASE("load probes that take some part of the objective still keep requests from slow targets")
{
    constexpr auto ProbeTime = 14ms;
    PlatformFleet fleet(81, 1);
    PlatformTarget fast("i-fast", fleet.targetAddress(0), 5ms, reportsLoad("0,0,6,100"), ProbeTime);
    PlatformTarget slow("i-slow", fleet.targetAddress(1), 30ms, reportsLoad("0,0,6,6000"), ProbeTime);
    REQUIRE(fast.announce(fleet.controlAddress()) == 200);
    REQUIRE(slow.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    const auto before = slow.requests().size();
    const auto answers = fleet.load(3, 7s);
    CHECK(std::all_of(answers.begin(), answers.end(), [](const auto &answer) {
        return core::ok(answer) && core::value(answer).status == 200;
    }));
    CHECK(slow.requests().size() - before <= answers.size() / 10);
}
