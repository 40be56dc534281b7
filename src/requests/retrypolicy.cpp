#include "requests/retrypolicy.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::requests
{

namespace
{

/** Unless set otherwise, a budget holds at most the retries that this many first attempts add. */
constexpr double MaxCreditedFirstAttempts = 100;
/** Tolerance for rounding: a sum of ratios may be slightly less than one whole retry. */
constexpr double RoundingTolerance = 1e-9;

} // namespace

bool canRetry(const FailedAttempt &failed)
{
    const bool safe = failed.idempotent || failed.runState == RunState::NotRun;
    return safe && failed.attempts < failed.maxAttempts && failed.timeLeft > core::Duration{};
}

RunState combineRunStates(RunState earlier, RunState latest)
{
    return earlier == RunState::NotRun ? latest : earlier;
}

RetryBudgets::RetryBudgets(std::function<double()> maxUnspent)
    : m_maxUnspent(std::move(maxUnspent))
{
}

void RetryBudgets::earn(const configuration::Service &service)
{
    const auto maximum = maxUnspent(service);
    const core::Lock lock(m_mutex);
    auto &unspent = m_unspent[service.name];
    unspent = std::min(unspent + service.retryRatio, maximum);
}

bool RetryBudgets::spend(const configuration::Service &service)
{
    const auto maximum = maxUnspent(service);
    const core::Lock lock(m_mutex);
    auto &unspent = m_unspent[service.name];
    unspent = std::min(unspent, maximum);
    if (unspent < 1 - RoundingTolerance) {
        return false;
    }
    unspent -= 1;
    return true;
}

double RetryBudgets::maxUnspent(const configuration::Service &service) const
{
    if (service.retryRatio <= 0) {
        return 0;
    }
    return std::max(1.0, m_maxUnspent ? m_maxUnspent() : MaxCreditedFirstAttempts * service.retryRatio);
}

RetryHook makeBudgetedRetryHook(RetryBudgets &budgets)
{
    return [&budgets](const FailedAttempt &failed) {
        return canRetry(failed) && budgets.spend(failed.service);
    };
}

} // namespace pimentoshed::requests
