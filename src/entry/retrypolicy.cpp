#include "entry/retrypolicy.h"

#include <utility>

namespace pimentoshed::entry
{

bool mayRunAgain(const FailedAttempt &failed)
{
    const bool harmless = failed.idempotent || failed.run == requests::RunState::NotRun;
    return harmless && failed.attempts < failed.mostAttempts && failed.left > core::Duration{};
}

RetryBudgets::RetryBudgets(std::function<double()> most)
    : m_most(std::move(most))
{
}

void RetryBudgets::earn(const configuration::Service &service)
{
    budgetOf(service).recordFirstAttempt();
}

bool RetryBudgets::spend(const configuration::Service &service)
{
    return budgetOf(service).tryWithdraw();
}

requests::RetryBudget &RetryBudgets::budgetOf(const configuration::Service &service)
{
    const core::Lock lock(m_mutex);
    auto &budget = m_budgets[service.name];
    if (!budget) {
        budget = std::make_unique<requests::RetryBudget>(service.retryRatio);
    }
    budget->configure(service.retryRatio);
    if (m_most) {
        budget->setMaxBalance(m_most());
    }
    return *budget;
}

RetryHook retryWithin(RetryBudgets &budgets)
{
    return [&budgets](const FailedAttempt &failed) {
        return mayRunAgain(failed) && budgets.spend(failed.service);
    };
}

} // namespace pimentoshed::entry
