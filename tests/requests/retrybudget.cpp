#include "requests/retrybudget.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using requests::RetryBudget;

namespace
{

unsigned takeAll(RetryBudget &budget)
{
    unsigned taken = 0;
    while (budget.tryWithdraw()) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("retries are at most the configured ratio of first attempts")
{
    RetryBudget budget(0.1);
    CHECK(takeAll(budget) == 0);
    for (unsigned i = 0; i < 50; ++i) {
        budget.recordFirstAttempt();
    }
    CHECK(takeAll(budget) == 5);
}

TEST_CASE("many first attempts without retries don't allow a burst of retries")
{
    RetryBudget budget(0.1);
    for (unsigned i = 0; i < 100000; ++i) {
        budget.recordFirstAttempt();
    }
    CHECK(takeAll(budget) == 10);
}

TEST_CASE("a ratio of 0 allows no retries, even after a refund")
{
    RetryBudget budget(0);
    budget.recordFirstAttempt();
    budget.refund();
    CHECK(takeAll(budget) == 0);
}
