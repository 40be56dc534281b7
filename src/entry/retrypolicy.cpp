#include "entry/retrypolicy.h"

#include <utility>

namespace pimentoshed::entry
{

bool canRetry(const FailedAttempt &failed)
{
    const bool safe = failed.idempotent || failed.runState == requests::RunState::NotRun;
    return safe && failed.attempts < failed.maxAttempts && failed.timeLeft > core::Duration{};
}

RetryBudgets::RetryBudgets(std::function<double()> maxUnspent)
    : m_maxUnspent(std::move(maxUnspent))
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
    if (m_maxUnspent) {
        budget->setMaxBalance(m_maxUnspent());
    }
    return *budget;
}

RetryHook makeBudgetedRetryHook(RetryBudgets &budgets)
{
    return [&budgets](const FailedAttempt &failed) {
        return canRetry(failed) && budgets.spend(failed.service);
    };
}

} // namespace pimentoshed::entry
