#include "requests/retrypolicy.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::requests
{

namespace
{

/** Unless set otherwise, a budget holds at most the retries that this many first attempts add. */
constexpr double MaxCreditedFirstAttempts = 100;
/** This part of the most unspent retries is kept for retries when hedges are made. */
constexpr double HedgeReserveDivisor = 2;
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
    unspent.retries = std::min(unspent.retries + service.retryRatio, maximum);
    unspent.hedges = std::min(unspent.hedges + service.hedgeRatio, maximum);
}

bool RetryBudgets::spend(const configuration::Service &service)
{
    const auto maximum = maxUnspent(service);
    const core::Lock lock(m_mutex);
    auto &retries = m_unspent[service.name].retries;
    retries = std::min(retries, maximum);
    if (retries < 1 - RoundingTolerance) {
        return false;
    }
    retries -= 1;
    return true;
}

bool RetryBudgets::spendOnHedge(const configuration::Service &service)
{
    const auto maximum = maxUnspent(service);
    const auto reserve = std::max(1.0, maximum / HedgeReserveDivisor);
    const core::Lock lock(m_mutex);
    auto &unspent = m_unspent[service.name];
    unspent.retries = std::min(unspent.retries, maximum);
    if (unspent.hedges < 1 - RoundingTolerance || unspent.retries < 1 + reserve - RoundingTolerance) {
        return false;
    }
    unspent.retries -= 1;
    unspent.hedges -= 1;
    return true;
}

void RetryBudgets::giveBackHedge(const configuration::Service &service)
{
    const auto maximum = maxUnspent(service);
    const core::Lock lock(m_mutex);
    auto &unspent = m_unspent[service.name];
    unspent.retries = std::min(unspent.retries + 1, maximum);
    unspent.hedges = std::min(unspent.hedges + 1, maximum);
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
