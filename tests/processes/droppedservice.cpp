#include "processes/platformfleet.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** Reports a load at which no late request takes the target until a third of its time has passed. */
http::Reply respondBusy(const ReceivedRequest & /*request*/)
{
    http::Reply reply;
    reply.headers.emplace_back("X-Load", "0,0,6,150");
    return reply;
}

} // namespace

// Guards against requests that are refused with 404 because the service that they wait for is dropped.
TEST_CASE("requests that wait while their route moves and its former service is dropped are served by the new one")
{
    PlatformFleet fleet(84, 1, 5s);
    PlatformTarget former("i-former", fleet.targetAddress(0), 1ms, respondBusy);
    PlatformTarget next("i-next", fleet.targetAddress(1), 1ms, respondBusy);
    next.setService("loans-next");
    REQUIRE(former.announce(fleet.controlAddress()) == 200);
    REQUIRE(next.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    const auto servedBefore = former.requests().size();
    constexpr unsigned Requests = 6;
    std::vector<core::Result<http::ClientAnswer>> answers(Requests, core::Error{});
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < Requests; ++i) {
        callers.emplace_back([&fleet, &answer = answers[i], i]() {
            answer = fleet.lateRequest(0, 3s, i % 2 == 0 ? "GET" : "POST");
        });
        std::this_thread::sleep_for(50ms);
    }
    const auto status = fleet.configure(2, "loans-next");
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(status == 200);
    std::vector<unsigned> statuses;
    statuses.reserve(Requests);
    for (const auto &answer : answers) {
        statuses.push_back(core::ok(answer) ? core::value(answer).status : 0);
    }
    CHECK(statuses == std::vector<unsigned>(Requests, 200));
    CHECK(former.requests().size() == servedBefore);
    CHECK(next.requests().size() == Requests);
}
