#include "routing/coldratelimiter.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

const core::TimePoint Start{100s};

membership::Member host(const std::string &name)
{
    return {core::HostId(name), 1, core::FailureDomain("ravne")};
}

targets::Target coldTarget()
{
    targets::Target target;
    target.id = core::TargetId("t");
    target.domain = core::FailureDomain("ravne");
    return target;
}

configuration::Service service()
{
    configuration::Service made;
    made.coldRequestsPerSecond = 4;
    return made;
}

/** Requests that @p pace lets through in one second, asked each millisecond. */
unsigned startsInOneSecond(routing::ColdRateLimiter &pace)
{
    unsigned starts = 0;
    for (auto now = Start; now < Start + 1s; now += 1ms) {
        if (pace.canSend(coldTarget(), service(), now)) {
            pace.recordSent(coldTarget(), service(), now);
            ++starts;
        }
    }
    return starts;
}

} // namespace

TEST_CASE("of all hosts one sends to a cold target, and stays below its bound")
{
    const membership::OwnershipView hosts{1, {host("e1"), host("e2"), host("e3")}};
    unsigned sum = 0;
    for (const auto &member : hosts.members) {
        routing::ColdRateLimiter pace(member);
        pace.setHosts(hosts, Start + 10s);
        sum += startsInOneSecond(pace);
    }
    CHECK(sum == 3);
}

TEST_CASE("two hosts that both take themselves for the sender stay within twice the pace")
{
    unsigned sum = 0;
    for (const auto &member : {host("e1"), host("e2")}) {
        routing::ColdRateLimiter pace(member);
        pace.setHosts({1, {member}}, Start + 10s);
        sum += startsInOneSecond(pace);
    }
    CHECK(sum == 6);
}

TEST_CASE("a host that can't know the others to be current sends nothing to cold targets")
{
    routing::ColdRateLimiter pace(host("e1"));
    CHECK(startsInOneSecond(pace) == 0);
    pace.setHosts({1, {host("e1")}}, Start);
    CHECK(startsInOneSecond(pace) == 0);
}

TEST_CASE("a restarted host is another one")
{
    auto before = host("e1");
    before.incarnation = 0;
    routing::ColdRateLimiter pace(host("e1"));
    pace.setHosts({1, {before}}, Start + 10s);
    CHECK(startsInOneSecond(pace) == 0);
}
