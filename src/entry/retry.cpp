#include "entry/retry.h"

#include <algorithm>

namespace pimentoshed::entry
{

namespace
{

constexpr unsigned MostAttempts = 3;
/** Retries that a service has in hand at the start, and at most. */
constexpr double MostTokens = 10;

} // namespace

bool mayRunAgain(const RetryCase &failed)
{
    const bool harmless = failed.idempotent || failed.run == requests::RunState::NotRun;
    return harmless && failed.attempts < MostAttempts && failed.left > core::Duration{};
}

void RetryBudget::earn(const configuration::Service &service)
{
    const core::Lock lock(m_mutex);
    auto &tokens = m_tokens.try_emplace(service.name, MostTokens).first->second;
    tokens = std::min(MostTokens, tokens + service.retryRatio);
}

bool RetryBudget::spend(const configuration::Service &service)
{
    const core::Lock lock(m_mutex);
    auto &tokens = m_tokens.try_emplace(service.name, MostTokens).first->second;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

RetryHook retryWithin(RetryBudget &budget)
{
    return [&budget](const RetryCase &failed) {
        return mayRunAgain(failed) && budget.spend(failed.service);
    };
}

} // namespace pimentoshed::entry
