#include "entry/retrypolicy.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using entry::FailedAttempt;
using requests::RunState;

TEST_CASE("a failed attempt may be retried if that is safe, within the attempt limit and before the deadline")
{
    const configuration::Service service;
    const core::Duration timeLeft = std::chrono::seconds(1);
    CHECK(entry::canRetry({service, false, RunState::NotRun, 1, 3, timeLeft}));
    CHECK(entry::canRetry({service, true, RunState::Unknown, 2, 3, timeLeft}));
    CHECK_FALSE(entry::canRetry({service, false, RunState::Unknown, 1, 3, timeLeft}));
    CHECK_FALSE(entry::canRetry({service, true, RunState::Unknown, 3, 3, timeLeft}));
    CHECK_FALSE(entry::canRetry({service, true, RunState::NotRun, 1, 3, core::Duration{}}));
}

TEST_CASE("a retry budget allows retries up to a share of first attempts, from the first request on")
{
    configuration::Service service;
    service.retryRatio = 0.25;
    entry::RetryBudgets budgets;
    CHECK_FALSE(budgets.spend(service));
    for (int i = 0; i < 8; ++i) {
        budgets.earn(service);
    }
    CHECK(budgets.spend(service));
    CHECK(budgets.spend(service));
    CHECK_FALSE(budgets.spend(service));
}

TEST_CASE("a retry budget with a limit never holds more unspent retries than the limit")
{
    configuration::Service service;
    service.retryRatio = 0.25;
    entry::RetryBudgets budgets([]() {
        return 3.6;
    });
    for (int i = 0; i < 1000; ++i) {
        budgets.earn(service);
    }
    unsigned spent = 0;
    while (budgets.spend(service)) {
        ++spent;
    }
    CHECK(spent == 3);
}
