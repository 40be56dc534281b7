#include "membership/requestpace.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

const core::TargetId Target("t");

std::vector<core::HostId> hosts(unsigned count)
{
    std::vector<core::HostId> made;
    for (unsigned i = 0; i < count; ++i) {
        made.emplace_back("e" + std::to_string(i));
    }
    return made;
}

/** The most requests that all hosts together may send to a target within @p window. */
double mostInWindow(double limit, unsigned usual, unsigned all, core::Duration window)
{
    double most = 0;
    for (const auto &host : hosts(all)) {
        const auto pace = membership::requestPace(Target, limit, {hosts(usual), all}, host);
        most += core::toSeconds(window) / core::toSeconds(pace.interval);
        // Hosts that send rarely don't send at the same moment: their first intervals begin at different times.
        most += pace.interval < window ? pace.burst : 0;
    }
    return most;
}

} // namespace

TEST_CASE("the requests of all hosts to a target stay within its limit, and the usual hosts can use most of it")
{
    const double limit = GENERATE(0.5, 1.0, 3.5, 8.2, 70.0, 1000.0);
    const unsigned usual = GENERATE(1, 3, 6, 40);
    const unsigned all = GENERATE(1, 6, 17, 60);
    if (usual > all) {
        return;
    }
    CAPTURE(limit, usual, all);
    double rate = 0;
    for (const auto &host : hosts(usual)) {
        rate += 1 / core::toSeconds(membership::requestPace(Target, limit, {hosts(usual), all}, host).interval);
    }
    CHECK(rate >= 0.8 * limit * 0.999);
    // One and a half times the limit and five requests are the most that the users' platform accepts.
    CHECK(mostInWindow(limit, usual, all, 4s) <= 1.5 * limit * 4 + 5);
}

TEST_CASE("a target that takes no requests gets one now and then, so that the end of its limit is noticed")
{
    for (const double limit : {0.0, 1e-9}) {
        double rate = 0;
        for (const auto &host : hosts(17)) {
            rate += 1 / core::toSeconds(membership::requestPace(Target, limit, {hosts(3), 17}, host).interval);
        }
        CHECK(rate > 0.01);
        CHECK(rate < 0.5);
    }
}

TEST_CASE("a very high limit and a host that knows no others have a defined pace")
{
    CHECK(membership::requestPace(Target, 1e300, {hosts(3), 3}, core::HostId("e0")).interval == core::Duration{});
    CHECK(membership::requestPace(Target, 2, {}, core::HostId("e0")).interval == 500ms);
    CHECK(membership::requestPace(Target, 2, {{}, 4}, core::HostId("e0")).interval == 2s);
}
