#include "processes/platformfleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

// Guards against a second signal that ends a host before its requests.
TEST_CASE("further signals during a stop end no request")
{
    PlatformFleet fleet(142, 1, 4s);
    PlatformTarget target("i-slow", fleet.targetAddress(0), 1500ms, [](const ReceivedRequest &) {
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    core::Result<http::ClientAnswer> answer = core::Error{};
    std::thread caller([&fleet, &answer]() {
        answer = fleet.request(0);
    });
    std::this_thread::sleep_for(100ms);
    const auto start = core::steadyNow();
    for (const int signal : {SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGINT}) {
        fleet.entry(0).signal(signal);
        std::this_thread::sleep_for(50ms);
    }
    caller.join();
    REQUIRE(core::ok(answer));
    CHECK(core::value(answer).status == 200);
    CHECK(fleet.entry(0).wait() == 0);
    CHECK(core::steadyNow() - start < PlatformFleet::GracePeriod);
}

TEST_CASE("an entry host that is stopped before its first configuration answers the requests that wait for it")
{
    PlatformFleet fleet(143, 1);
    fleet.control().signal(SIGSTOP);
    fleet.restartEntry(0);
    std::vector<core::Result<http::ClientAnswer>> answers(20, core::Error{});
    std::vector<std::thread> callers;
    callers.reserve(answers.size());
    const auto accepts = [&fleet]() {
        return core::ok(fleet.request(0));
    };
    REQUIRE(eventually(accepts, 5s));
    for (auto &answer : answers) {
        callers.emplace_back([&fleet, &answer]() {
            answer = fleet.request(0);
        });
    }
    std::this_thread::sleep_for(20ms);
    fleet.entry(0).signal(SIGTERM);
    const auto start = core::steadyNow();
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(fleet.entry(0).wait() == 0);
    CHECK(core::steadyNow() - start < PlatformFleet::GracePeriod);
    fleet.control().signal(SIGCONT);
    for (const auto &answer : answers) {
        REQUIRE(core::ok(answer));
        CHECK(core::value(answer).status == 503);
    }
}

// Guards against a stop that takes longer than announced, so that SIGKILL ends the host before it has logged what it
// cut.
TEST_CASE("a stopping host that is held up for a moment ends within the grace period")
{
    PlatformFleet fleet(144, 1, 4s);
    PlatformTarget target("i-mixed", fleet.targetAddress(0), 40ms, [](const ReceivedRequest &request) {
        if (request.id.starts_with("slow")) {
            std::this_thread::sleep_for(3800ms);
        }
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.load(20, 1s);
    const auto start = core::steadyNow();
    fleet.entry(0).signal(SIGTERM);
    std::this_thread::sleep_until(start + 2500ms);
    std::thread caller([&fleet]() {
        fleet.request(0, "GET", "slow");
    });
    std::this_thread::sleep_until(start + 4400ms);
    fleet.entry(0).signal(SIGSTOP);
    std::this_thread::sleep_until(start + 5s);
    fleet.entry(0).signal(SIGCONT);
    constexpr int StoppedWithRequests = 4;
    CHECK(fleet.entry(0).wait() == StoppedWithRequests);
    CHECK(core::steadyNow() - start < PlatformFleet::GracePeriod);
    caller.join();
}

// Guards against look-ups that are sent later than a stop may cut them, because the host noticed the signal late.
TEST_CASE("a host that notices its stop late counts from the time at which the signal may have been sent")
{
    PlatformFleet fleet(145, 1, 4s);
    std::atomic<int> lateRuns{0};
    PlatformTarget target("i-mixed", fleet.targetAddress(0), 40ms, [&lateRuns](const ReceivedRequest &request) {
        if (request.id.starts_with("late")) {
            ++lateRuns;
            std::this_thread::sleep_for(3800ms);
        }
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.load(20, 1s);
    // Stands for a host that doesn't get its processor.
    fleet.entry(0).signal(SIGSTOP);
    const auto start = core::steadyNow();
    fleet.entry(0).signal(SIGTERM);
    std::this_thread::sleep_until(start + 700ms);
    fleet.entry(0).signal(SIGCONT);
    std::this_thread::sleep_until(start + 3200ms);
    const auto answer = fleet.request(0, "GET", "late");
    CHECK(fleet.entry(0).wait() == 0);
    CHECK(core::steadyNow() - start < PlatformFleet::GracePeriod);
    CHECK(lateRuns == 0);
    REQUIRE(core::ok(answer));
    CHECK(core::value(answer).status == 503);
}
