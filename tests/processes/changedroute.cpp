#include "processes/platformfleet.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

// Guards against a second run of a request that may have run, if its route no longer allows that when it is sent again.
TEST_CASE("a request that waits for its second attempt is not sent again once a configuration makes its route unsafe")
{
    PlatformFleet fleet(88, 1, 5s);
    std::atomic<bool> isFailing{false};
    PlatformTarget first("i-first", fleet.targetAddress(0), 1ms, [&isFailing](const ReceivedRequest &request) {
        http::Reply reply;
        if (isFailing && !request.isProbe()) {
            reply.status = boost::beast::http::status::internal_server_error;
        }
        return reply;
    });
    PlatformTarget second("i-second", fleet.targetAddress(1), 1ms, [](const ReceivedRequest & /*request*/) {
        return http::Reply{};
    });
    REQUIRE(first.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    // A retry needs some first attempts that went well.
    fleet.load(40, 1s);
    isFailing = true;
    core::Result<http::ClientAnswer> answer = core::Error{};
    std::thread caller([&]() {
        answer = fleet.request(0, "GET", "may-have-run");
    });
    const auto hasRun = [](const PlatformTarget &target) {
        const auto received = target.requests();
        return std::any_of(received.begin(), received.end(), [](const auto &request) {
            return request.id == "may-have-run";
        });
    };
    const bool hasRunFirst = eventually(
        [&]() {
            return hasRun(first);
        },
        1s);
    const auto status = fleet.configure(2, PlatformTarget::DefaultService, "unsafe");
    const auto announced = second.announce(fleet.controlAddress());
    caller.join();
    CHECK(hasRunFirst);
    CHECK(status == 200);
    CHECK(announced == 200);
    CHECK_FALSE(hasRun(second));
    REQUIRE(core::ok(answer));
    // Refusals as not run would be false.
    CHECK(core::value(answer).status >= 500);
    CHECK(core::value(answer).status != 503);
}
