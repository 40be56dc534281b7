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

/** Requests that @p limiter allows within one second if called every millisecond. */
unsigned sentInOneSecond(routing::ColdRateLimiter &limiter)
{
    unsigned sent = 0;
    for (auto now = Start; now < Start + 1s; now += 1ms) {
        if (limiter.canSend(coldTarget(), service(), now)) {
            limiter.recordSent(coldTarget(), service(), now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("only one of all hosts sends to a cold target, below the rate limit")
{
    const membership::OwnershipView hosts{1, {host("e1"), host("e2"), host("e3")}};
    unsigned total = 0;
    for (const auto &member : hosts.members) {
        routing::ColdRateLimiter limiter(member);
        limiter.setHosts(hosts, Start + 10s);
        total += sentInOneSecond(limiter);
    }
    CHECK(total == 3);
}

TEST_CASE("two hosts that both count as the owner send at most twice the rate")
{
    unsigned total = 0;
    for (const auto &member : {host("e1"), host("e2")}) {
        routing::ColdRateLimiter limiter(member);
        limiter.setHosts({1, {member}}, Start + 10s);
        total += sentInOneSecond(limiter);
    }
    CHECK(total == 6);
}

TEST_CASE("a host without a current host list sends nothing to cold targets")
{
    routing::ColdRateLimiter limiter(host("e1"));
    CHECK(sentInOneSecond(limiter) == 0);
    limiter.setHosts({1, {host("e1")}}, Start);
    CHECK(sentInOneSecond(limiter) == 0);
}

TEST_CASE("a host list with an earlier incarnation of the host doesn't make it the owner")
{
    auto before = host("e1");
    before.incarnation = 0;
    routing::ColdRateLimiter limiter(host("e1"));
    limiter.setHosts({1, {before}}, Start + 10s);
    CHECK(sentInOneSecond(limiter) == 0);
}
