#include "entry/retry.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using entry::RetryCase;
using requests::RunState;

TEST_CASE("only what is harmless and in time runs again, at most three times")
{
    const configuration::Service service;
    const core::Duration left = std::chrono::seconds(1);
    CHECK(entry::mayRunAgain({service, false, RunState::NotRun, 1, left}));
    CHECK(entry::mayRunAgain({service, true, RunState::Unknown, 2, left}));
    CHECK_FALSE(entry::mayRunAgain({service, false, RunState::Unknown, 1, left}));
    CHECK_FALSE(entry::mayRunAgain({service, true, RunState::Unknown, 3, left}));
    CHECK_FALSE(entry::mayRunAgain({service, true, RunState::NotRun, 1, core::Duration{}}));
}

TEST_CASE("retries stay within a share of first attempts")
{
    configuration::Service service;
    service.retryRatio = 0.25;
    entry::RetryBudget budget;
    unsigned spent = 0;
    while (budget.spend(service)) {
        ++spent;
    }
    CHECK(spent == 10);
    for (int i = 0; i < 8; ++i) {
        budget.earn(service);
    }
    CHECK(budget.spend(service));
    CHECK(budget.spend(service));
    CHECK_FALSE(budget.spend(service));
}
