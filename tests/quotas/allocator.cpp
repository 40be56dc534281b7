#include "quotas/allocator.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::quotas;
using namespace std::chrono_literals;

namespace
{

const core::WorkspaceName Bakery{"bakery"};

/** An allocator with one limited workspace, whose leader has been in office for long. */
class Fixture
{
protected:
    Fixture()
    {
        allocator.restart(now);
        configure(10, 10);
        now += 60s;
    }

    void configure(double rate, double burst)
    {
        configuration::Workspace workspace;
        workspace.name = Bakery;
        workspace.requestsPerSecond = rate;
        workspace.burst = burst;
        allocator.configure({workspace}, now);
    }

    Grant ask(const std::string &host, CallNumber call, unsigned waiting, unsigned ahead = 0)
    {
        return allocator.answer({core::HostId(host), call, {{Bakery, waiting, ahead}}, {}}, now).front();
    }

    void giveBack(const std::string &host, CallNumber call, CallNumber lease, unsigned requests)
    {
        allocator.answer({core::HostId(host), call, {}, {{Bakery, lease, requests}}}, now);
    }

    unsigned leased()
    {
        return allocator.uses(now).front().leased;
    }

    Allocator allocator;
    core::TimePoint now{1h};
};

} // namespace

TEST_CASE_METHOD(Fixture, "What waits is granted up to the bucket, the rest gets a time", "[quotas]")
{
    const auto depth = static_cast<unsigned>(bucketDepth({10, 10}));
    CHECK(ask("a", 1, 5).requests == 5);
    const auto rest = ask("a", 2, 100);
    CHECK(rest.requests == depth - 5);
    CHECK(rest.retryAfter > 0s);
    // Later callers are promised the time after those.
    CHECK(ask("b", 1, 1).retryAfter > rest.retryAfter);
}

TEST_CASE_METHOD(Fixture, "Retry-After is true: a caller who obeys is admitted", "[quotas]")
{
    ask("a", 1, 1000);
    now += 1s;
    ask("a", 2, 1000);
    now += ask("a", 3, 1).retryAfter;
    CHECK(ask("a", 4, 1).requests == 1);
}

TEST_CASE_METHOD(Fixture, "Hosts that ask in advance share what is left", "[quotas]")
{
    ask("a", 1, 0, 1);
    ask("b", 1, 0, 1);
    const auto greedy = ask("c", 1, 0, 1000);
    CHECK(greedy.requests <= static_cast<unsigned>(bucketDepth({10, 10})) / 3);
    CHECK(ask("d", 1, 1).requests == 1);
}

TEST_CASE_METHOD(Fixture, "A repeated call gets one lease, and its returns count once", "[quotas]")
{
    CHECK(ask("a", 1, 4).requests == 4);
    CHECK(ask("a", 1, 4).requests == 0);
    CHECK(leased() == 4);
    giveBack("a", 2, 1, 2);
    giveBack("a", 2, 1, 2);
    CHECK(leased() == 2);
    giveBack("a", 3, 1, 1);
    giveBack("a", 2, 1, 1);
    CHECK(leased() == 1);
    giveBack("b", 9, 1, 1);
    CHECK(leased() == 1);
}

TEST_CASE_METHOD(Fixture, "Leases end later at the leader than at any holder", "[quotas]")
{
    const auto grant = ask("a", 1, 4);
    now += grant.lifetime;
    CHECK(leased() == 4);
    now += grant.lifetime / 5;
    CHECK(leased() == 0);
}

TEST_CASE_METHOD(Fixture, "Much that is leased shortens leases, and never exceeds the room", "[quotas]")
{
    CHECK(ask("a", 1, 1).lifetime == LongLifetime);
    unsigned granted = 1;
    for (CallNumber call = 2; call < 200; ++call) {
        granted += ask("a", call, 1).requests;
        now += 1ms;
    }
    CHECK(ask("a", 200, 1).lifetime <= ShortLifetime);
    CHECK(granted <= room({10, 10}));
}

TEST_CASE_METHOD(Fixture,
                 "A new leader grants nothing at first, then what the rate adds, then a full bucket",
                 "[quotas]")
{
    ask("a", 1, 10);
    allocator.restart(now);
    const auto refused = ask("a", 2, 1);
    CHECK(refused.requests == 0);
    // It is not known whether the request is over the quota.
    CHECK(refused.retryAfter == 0s);
    now += LongLifetime * 11 / 10 + 500ms;
    CHECK(ask("a", 3, 100).requests == 5);
    now += Window;
    // The bucket would be full now, had it been full when the other leases ended.
    CHECK(ask("a", 4, 1000).requests >= 10);
}

TEST_CASE_METHOD(Fixture, "One request an hour finds its quota", "[quotas]")
{
    configure(1.0 / 3600, 1);
    CHECK(ask("a", 1, 1).requests == 1);
    now += 1h;
    CHECK(ask("b", 1, 1).requests == 1);
}

TEST_CASE_METHOD(Fixture, "A lower limit waits for what is leased; a removed one limits nothing", "[quotas]")
{
    ask("a", 1, 19);
    configure(1, 0);
    now += 100ms;
    CHECK(ask("a", 2, 1).requests == 0);
    allocator.configure({}, now);
    CHECK(ask("a", 3, 1000).requests == 1000);
}

TEST_CASE("The parts of the reserve add up to it", "[quotas]")
{
    for (const Limit limit : {Limit{0.1, 0}, Limit{3, 5}, Limit{400, 100}}) {
        for (const std::size_t count : {1U, 7U, 142U, 1000U}) {
            std::vector<core::HostId> hosts;
            for (std::size_t index = 0; index < count; ++index) {
                hosts.emplace_back(std::to_string(index));
            }
            unsigned sum = 0;
            for (const auto &host : hosts) {
                sum += reservePart(limit, Bakery, hosts, host);
            }
            CHECK(sum == reserve(limit));
            CHECK(sum + room(limit) - limit.burst <= tolerance(limit));
        }
    }
    CHECK(reservePart({3, 5}, Bakery, {core::HostId("a")}, core::HostId("b")) == 0);
}
