#include "entry/retrypolicy.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using entry::FailedAttempt;
using requests::RunState;

TEST_CASE("only what is harmless and in time runs again, at most three times")
{
    const configuration::Service service;
    const core::Duration left = std::chrono::seconds(1);
    CHECK(entry::mayRunAgain({service, false, RunState::NotRun, 1, 3, left}));
    CHECK(entry::mayRunAgain({service, true, RunState::Unknown, 2, 3, left}));
    CHECK_FALSE(entry::mayRunAgain({service, false, RunState::Unknown, 1, 3, left}));
    CHECK_FALSE(entry::mayRunAgain({service, true, RunState::Unknown, 3, 3, left}));
    CHECK_FALSE(entry::mayRunAgain({service, true, RunState::NotRun, 1, 3, core::Duration{}}));
}

TEST_CASE("retries stay within a share of first attempts, from the first request on")
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

TEST_CASE("no service has more retries in hand than its part of what all entry hosts may have")
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
