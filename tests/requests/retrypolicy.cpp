#include "requests/retrypolicy.h"

#include "core/random.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using requests::FailedAttempt;
using requests::RetryBudgets;
using requests::RunState;

namespace
{

configuration::Service makeService(double retryRatio)
{
    configuration::Service service;
    service.retryRatio = retryRatio;
    return service;
}

void earn(RetryBudgets &budgets, const configuration::Service &service, unsigned firstAttempts)
{
    for (unsigned i = 0; i < firstAttempts; ++i) {
        budgets.earn(service);
    }
}

unsigned spendAll(RetryBudgets &budgets, const configuration::Service &service)
{
    unsigned spent = 0;
    while (budgets.spend(service)) {
        ++spent;
    }
    return spent;
}

} // namespace

TEST_CASE("a failed attempt may be retried if that is safe, within the attempt limit and before the deadline")
{
    const configuration::Service service;
    const core::Duration timeLeft = std::chrono::seconds(1);
    CHECK(requests::canRetry({service, false, RunState::NotRun, 1, 3, timeLeft}));
    CHECK(requests::canRetry({service, true, RunState::Unknown, 2, 3, timeLeft}));
    CHECK_FALSE(requests::canRetry({service, false, RunState::Unknown, 1, 3, timeLeft}));
    CHECK_FALSE(requests::canRetry({service, false, RunState::Ran, 1, 3, timeLeft}));
    CHECK_FALSE(requests::canRetry({service, true, RunState::Unknown, 3, 3, timeLeft}));
    CHECK_FALSE(requests::canRetry({service, true, RunState::NotRun, 1, 3, core::Duration{}}));
}

TEST_CASE("a request counts as not run only if none of its attempts ran")
{
    CHECK(requests::combineRunStates(RunState::NotRun, RunState::NotRun) == RunState::NotRun);
    CHECK(requests::combineRunStates(RunState::NotRun, RunState::Ran) == RunState::Ran);
    CHECK(requests::combineRunStates(RunState::Unknown, RunState::NotRun) == RunState::Unknown);
    CHECK(requests::combineRunStates(RunState::Ran, RunState::NotRun) == RunState::Ran);
}

TEST_CASE("a retry budget allows retries up to a share of first attempts, from the first request on")
{
    const auto service = makeService(0.1);
    RetryBudgets budgets;
    CHECK(spendAll(budgets, service) == 0);
    earn(budgets, service, 50);
    CHECK(spendAll(budgets, service) == 5);
}

TEST_CASE("many first attempts without retries don't allow a burst of retries")
{
    const auto service = makeService(0.1);
    RetryBudgets budgets;
    earn(budgets, service, 100000);
    CHECK(spendAll(budgets, service) == 10);
}

TEST_CASE("a ratio of 0 allows no retries")
{
    const auto service = makeService(0);
    RetryBudgets budgets;
    earn(budgets, service, 1000);
    CHECK(spendAll(budgets, service) == 0);
}

TEST_CASE("a retry budget with a limit never holds more unspent retries than the limit")
{
    const auto service = makeService(0.25);
    RetryBudgets budgets([]() {
        return 3.6;
    });
    earn(budgets, service, 1000);
    CHECK(spendAll(budgets, service) == 3);
}

TEST_CASE("the budgets of two services are separate, and a lower ratio applies at once")
{
    auto service = makeService(0.5);
    service.name = core::ServiceName("loans");
    auto other = makeService(0.5);
    other.name = core::ServiceName("fees");
    RetryBudgets budgets;
    earn(budgets, service, 100);
    CHECK_FALSE(budgets.spend(other));
    service.retryRatio = 0.02;
    CHECK(spendAll(budgets, service) == 2);
}

TEST_CASE("hedges and retries share a budget, of which hedges leave half and at least one")
{
    const auto [maximum, retries] = GENERATE(table<double, unsigned>({{20.0, 10}, {3.6, 1}, {2.0, 1}, {1.0, 1}}));
    auto service = makeService(0.2);
    service.hedgeRatio = 0.2;
    RetryBudgets budgets([limit = maximum]() {
        return limit;
    });
    earn(budgets, service, 500);
    unsigned hedges = 0;
    while (budgets.spendOnHedge(service)) {
        ++hedges;
    }
    CHECK(hedges <= static_cast<unsigned>(maximum / 2));
    CHECK(spendAll(budgets, service) >= retries);
    CHECK(hedges + retries <= static_cast<unsigned>(maximum) + 1);
}

TEST_CASE("hedges stay within their share of first attempts, and within the retry ratio together with retries")
{
    auto service = makeService(0.1);
    service.hedgeRatio = 0.02;
    RetryBudgets budgets;
    const auto random = core::seededRandom(5);
    unsigned hedges = 0;
    unsigned retries = 0;
    for (unsigned first = 1; first <= 20000; ++first) {
        budgets.earn(service);
        hedges += budgets.spendOnHedge(service) ? 1 : 0;
        retries += core::randomBelow(random, 20) == 0 && budgets.spend(service) ? 1 : 0;
        REQUIRE(hedges <= 0.02 * first + 1e-6);
        REQUIRE(hedges + retries <= 0.1 * first + 1e-6);
    }
    CHECK(hedges > 300);
    CHECK(retries > 800);
}

TEST_CASE("a hedge that was not made is given back")
{
    auto service = makeService(0.2);
    service.hedgeRatio = 0.2;
    RetryBudgets budgets;
    earn(budgets, service, 10);
    CHECK(budgets.spendOnHedge(service) == false);
    earn(budgets, service, 1000);
    CHECK(budgets.spendOnHedge(service));
    budgets.giveBackHedge(service);
    CHECK(spendAll(budgets, service) == 20);
}
