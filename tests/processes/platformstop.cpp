#include "processes/platformfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <set>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

struct LateRequest {
    std::string id;
    std::string method;
    core::Duration afterSignal{};
    core::Result<http::ClientAnswer> answer = core::Error{};

    bool succeeded() const
    {
        return core::ok(answer) && core::value(answer).status == 200;
    }
};

/** Stops entry host 0, sends it each of @p requests at its moment, and records the answers. */
void stopAndSend(PlatformFleet &fleet, std::vector<LateRequest> &requests)
{
    fleet.entry(0).signal(SIGTERM);
    const auto start = core::steadyNow();
    std::vector<std::thread> callers;
    callers.reserve(requests.size());
    for (auto &request : requests) {
        std::this_thread::sleep_until(start + request.afterSignal);
        callers.emplace_back([&fleet, &request]() {
            request.answer = fleet.request(0, request.method, request.id);
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(fleet.entry(0).wait() == 0);
    CHECK(core::steadyNow() - start < PlatformFleet::GracePeriod);
}

/** Until when reads are sent by an estimate of their time; those that are cut nevertheless are not counted as lost. */
constexpr auto EstimatedUntil = 2800ms;

/**
 * Stops entry host 0, and sends it a read and a write at each tenth of the grace period, and twice more before it may
 * no longer go by an estimate.
 */
std::vector<LateRequest> requestsDuringStop(PlatformFleet &fleet)
{
    constexpr unsigned Steps = 10;
    std::vector<core::Duration> moments{EstimatedUntil - 100ms, EstimatedUntil};
    for (unsigned step = 0; step < Steps; ++step) {
        moments.push_back(step * core::Duration(PlatformFleet::GracePeriod) / Steps);
    }
    std::sort(moments.begin(), moments.end());
    std::vector<LateRequest> requests;
    for (const auto moment : moments) {
        for (const std::string method : {"GET", "POST"}) {
            requests.push_back({fmt::format("{}-{}", method, core::toSeconds(moment)), method, moment});
        }
    }
    stopAndSend(fleet, requests);
    return requests;
}

/** Checks that each request which reached @p target was answered, and that each refusal says when to come back. */
void checkNoneCut(const std::vector<LateRequest> &requests, const PlatformTarget &target)
{
    std::set<std::string> run;
    for (const auto &received : target.requests()) {
        run.insert(received.id);
    }
    for (const auto &request : requests) {
        CAPTURE(request.id);
        CHECK(request.succeeded() == (run.count(request.id) > 0));
        if (core::ok(request.answer) && !request.succeeded()) {
            CHECK(core::value(request.answer).status == 503);
            CHECK_FALSE(http::headerOf(core::value(request.answer), "Retry-After").empty());
        }
    }
}

} // namespace

TEST_CASE("a stopping entry host sends no request to a target that it could not answer before it ends")
{
    PlatformFleet fleet(78, 1, 4s);
    PlatformTarget target("i-slow", fleet.targetAddress(0), 2s, [](const ReceivedRequest &) {
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    const auto requests = requestsDuringStop(fleet);
    checkNoneCut(requests, target);
    CHECK(requests.front().succeeded());
}

TEST_CASE("a stopping entry host serves idempotent requests that its targets answer fast")
{
    PlatformFleet fleet(79, 1, 4s);
    PlatformTarget target("i-fast", fleet.targetAddress(0), 50ms, [](const ReceivedRequest &) {
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.load(20, 2s);
    const auto requests = requestsDuringStop(fleet);
    checkNoneCut(requests, target);
    for (const auto &request : requests) {
        if (request.method == "GET" && request.afterSignal <= EstimatedUntil) {
            CAPTURE(request.id);
            CHECK(request.succeeded());
        }
    }
}

// Guards against look-ups that a stopping host sends by an estimate of their time, and cuts when it ends.
TEST_CASE("a stopping entry host cuts no late read that takes far longer than reads usually do")
{
    PlatformFleet fleet(82, 1, 4s);
    PlatformTarget target("i-mixed", fleet.targetAddress(0), 40ms, [](const ReceivedRequest &request) {
        if (request.id.starts_with("slow")) {
            std::this_thread::sleep_for(2400ms);
        }
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.load(20, 2s);
    std::vector<LateRequest> requests;
    for (const auto moment : {3200ms, 3600ms, 4000ms}) {
        requests.push_back({fmt::format("slow-{}", moment.count()), "GET", moment});
    }
    stopAndSend(fleet, requests);
    checkNoneCut(requests, target);
}

TEST_CASE("an entry host that has just started lets requests wait for its first configuration")
{
    PlatformFleet fleet(70, 1);
    PlatformTarget target("i-fast", fleet.targetAddress(0), 5ms, [](const ReceivedRequest &) {
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    for (unsigned round = 0; round < 5; ++round) {
        fleet.restartEntry(0);
        // Refused connections are retried; the first request that is accepted has to be served.
        core::Result<http::ClientAnswer> answer = core::Error{};
        REQUIRE(eventually(
            [&]() {
                answer = fleet.request(0);
                return core::ok(answer);
            },
            5s));
        CHECK(core::value(answer).status == 200);
    }
}
