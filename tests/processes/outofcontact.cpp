#include "processes/platformfleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <string_view>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** Longer than an entry host may act on its configuration without another confirmation. */
constexpr auto PermissionEnd = 3500ms;

/** Returns what entry host 0 has logged since it was started for the second time; empty before that. */
std::string logSinceRestart(const PlatformFleet &fleet)
{
    constexpr std::string_view Started = "\"entry-started\"";
    const auto log = fleet.entryLog(0);
    const auto first = log.find(Started);
    const auto second = first == std::string::npos ? first : log.find(Started, first + 1);
    return second == std::string::npos ? std::string() : log.substr(second);
}

/** Waits until entry host 0, started for the second time, has got @p version. Returns whether that happened. */
bool waitUntilAdopted(const PlatformFleet &fleet, const std::string &version)
{
    return eventually(
        [&]() {
            return logSinceRestart(fleet).find("\"version\":" + version + ",\"previous_revision\"")
                   != std::string::npos;
        },
        10s);
}

/** Returns the status of the response of entry host @p entry to a request without a route, or 0. */
unsigned statusWithoutRoute(const PlatformFleet &fleet, unsigned entry)
{
    const auto answer = sendRequest(
        fleet.callerAddress(entry), "/added/x", "GET", {}, {{"Host", "loans.example"}, {"X-Request-Id", "u"}});
    return core::ok(answer) ? core::value(answer).status : 0;
}

} // namespace

// Guards against a refusal that claims that no configuration has the route, by a host that may not know the newest one.
TEST_CASE("a host that is out of contact does not refuse a request as one without a route")
{
    PlatformFleet fleet(95, 1);
    PlatformTarget target("i-1", fleet.targetAddress(0), 1ms, succeed);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    CHECK(statusWithoutRoute(fleet, 0) == 404);
    fleet.control().signal(SIGSTOP);
    std::this_thread::sleep_for(PermissionEnd);
    const auto status = statusWithoutRoute(fleet, 0);
    const auto known = fleet.request(0);
    fleet.control().signal(SIGCONT);
    CHECK(status == 503);
    REQUIRE(core::ok(known));
    CHECK(core::value(known).status == 200);
    CHECK(eventually(
        [&fleet]() {
            return statusWithoutRoute(fleet, 0) == 404;
        },
        5s));
}

// Guards against requests that follow an older configuration, which a control host without a quorum still has.
TEST_CASE("an entry host that has started does not act on a configuration before a quorum has confirmed it")
{
    PlatformFleet fleet(96, 1, 1s, 3);
    PlatformTarget former("i-former", fleet.targetAddress(0), 1ms, succeed);
    REQUIRE(former.announce(fleet.controlAddress(2)) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.control(2).signal(SIGSTOP);
    REQUIRE(eventually(
        [&fleet]() {
            return fleet.configure(2, "renewals") == 200;
        },
        10s));
    fleet.control(0).signal(SIGSTOP);
    fleet.control(1).signal(SIGSTOP);
    fleet.control(2).signal(SIGCONT);
    fleet.restartEntry(0);
    REQUIRE(former.announce(fleet.controlAddress(2)) == 200);
    REQUIRE(waitUntilAdopted(fleet, "1"));
    const auto before = former.requests().size();
    const auto answers = fleet.load(20, 2s);
    CHECK(former.requests().size() == before);
    for (const auto &answer : answers) {
        INFO((core::ok(answer) ? std::string() : core::describe(core::error(answer))));
        REQUIRE(core::ok(answer));
        CHECK(core::value(answer).status == 503);
    }
    fleet.control(0).signal(SIGCONT);
    fleet.control(1).signal(SIGCONT);
    CHECK(waitUntilAdopted(fleet, "2"));
}
