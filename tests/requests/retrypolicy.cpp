#include "requests/retrypolicy.h"

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
