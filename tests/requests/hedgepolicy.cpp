#include "requests/hedgepolicy.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace pimentoshed;
using namespace pimentoshed::requests;
using namespace std::chrono_literals;

namespace
{

constexpr core::TimePoint Start{100s};

/** A policy whose budgets hold many attempts, for one route whose responses take 1 ms to 100 ms. */
struct Fixture {
    Fixture()
    {
        service.name = core::ServiceName("loans");
        service.retryRatio = 1;
        service.hedgeRatio = 1;
        route.name = core::RouteName("reads");
        route.maxAttempts = 2;
        for (int i = 0; i < 500; ++i) {
            policy.record(route, (1 + i * 37 % 100) * 1ms, Start - 5s + i * 10ms);
        }
        earn(400);
    }

    void earn(int count)
    {
        for (int i = 0; i < count; ++i) {
            budgets.earn(service);
        }
    }

    HedgeCandidate candidate() const
    {
        return {service, route, true, 1, 1s};
    }

    configuration::Service service;
    configuration::Route route;
    ServiceUse use;
    RetryBudgets budgets;
    HedgePolicy policy{budgets, [this](const core::ServiceName &) {
                           return use;
                       }};
};

} // namespace

TEST_CASE("a second attempt is due once a response is later than those of its route usually are")
{
    const Fixture fixture;
    const auto delay = fixture.policy.delay(fixture.candidate(), Start);
    REQUIRE(delay);
    CHECK(*delay > 90ms);
    CHECK(*delay < 99ms);
}

TEST_CASE("there is no second attempt of a request that may run once, has no attempt or no time left")
{
    Fixture fixture;
    auto candidate = fixture.candidate();
    SECTION("not idempotent")
    {
        candidate.idempotent = false;
        CHECK_FALSE(fixture.policy.spend(candidate, Start));
    }
    SECTION("no attempt left")
    {
        candidate.attempts = 2;
        CHECK_FALSE(fixture.policy.spend(candidate, Start));
    }
    SECTION("less time left than a second response may take")
    {
        candidate.timeLeft = 180ms;
    }
    SECTION("the service allows none")
    {
        fixture.service.hedgeRatio = 0;
    }
    SECTION("another route, whose response times are unknown")
    {
        fixture.route.name = core::RouteName("other");
    }
    CHECK_FALSE(fixture.policy.delay(candidate, Start));
}

TEST_CASE("a hedge leaves the reserve of the retries, and one that was not made is given back")
{
    Fixture fixture;
    unsigned hedges = 0;
    while (fixture.policy.spend(fixture.candidate(), Start)) {
        ++hedges;
    }
    CHECK(hedges == 50);
    fixture.policy.giveBack(fixture.service);
    CHECK(fixture.policy.spend(fixture.candidate(), Start));
    unsigned retries = 0;
    while (fixture.budgets.spend(fixture.service)) {
        ++retries;
    }
    CHECK(retries == 50);
}

TEST_CASE("a service is short of room while requests wait, and for a while after a target refused one")
{
    Fixture fixture;
    CHECK(fixture.policy.spend(fixture.candidate(), Start));
    fixture.use.waiting = 1;
    CHECK_FALSE(fixture.policy.spend(fixture.candidate(), Start));
    fixture.use.waiting = 0;
    CHECK(fixture.policy.spend(fixture.candidate(), Start));
    fixture.policy.recordShed(fixture.service.name, Start);
    CHECK_FALSE(fixture.policy.spend(fixture.candidate(), Start + 999ms));
    CHECK(fixture.policy.spend(fixture.candidate(), Start + 1s));
}

// Plays a service of 100 slots whose load rises to its capacity and falls again. Each second attempt occupies a slot
// too, for the rest of its step.
TEST_CASE("under rising load hedging stops by itself, and goes on only at a clearly lower load")
{
    constexpr int Slots = 100;
    constexpr int RequestsPerStep = 200;
    Fixture fixture;
    const auto hedgesAt = [&fixture](int used) {
        int hedges = 0;
        fixture.earn(RequestsPerStep);
        for (int i = 0; i < RequestsPerStep; ++i) {
            fixture.use.usedShare = static_cast<double>(used + hedges) / Slots;
            const bool isLate = i % 20 == 0;
            hedges += isLate && fixture.policy.spend(fixture.candidate(), Start) ? 1 : 0;
        }
        return hedges;
    };
    int stoppedAt = 0;
    for (int used = 0; used <= Slots && stoppedAt == 0; ++used) {
        stoppedAt = hedgesAt(used) == 0 ? used : 0;
    }
    CHECK(stoppedAt >= 50);
    CHECK(stoppedAt <= 60);
    for (int used = stoppedAt; used <= Slots; ++used) {
        CHECK(hedgesAt(used) == 0);
    }
    int resumedAt = Slots;
    while (hedgesAt(resumedAt) == 0) {
        --resumedAt;
    }
    CHECK(resumedAt == 45);
}
