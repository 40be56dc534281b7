#include "requests/retrybudget.h"

#include <algorithm>

namespace pimentoshed::requests
{

namespace
{

/** Unless set otherwise, the balance is at most the retries that this many first attempts add. */
constexpr double MaxCreditedFirstAttempts = 100;
/** Tolerance for rounding: a sum of ratios may be slightly less than one whole retry. */
constexpr double RoundingTolerance = 1e-9;

} // namespace

RetryBudget::RetryBudget(double ratio)
    : m_ratio(ratio)
{
}

void RetryBudget::configure(double ratio)
{
    const core::Lock lock(m_mutex);
    m_ratio = ratio;
    m_balance = std::min(m_balance, maxBalance());
}

void RetryBudget::setMaxBalance(double maximum)
{
    const core::Lock lock(m_mutex);
    m_configuredMaximum = maximum;
    m_balance = std::min(m_balance, maxBalance());
}

void RetryBudget::recordFirstAttempt()
{
    const core::Lock lock(m_mutex);
    m_balance = std::min(m_balance + m_ratio, maxBalance());
}

bool RetryBudget::tryWithdraw()
{
    const core::Lock lock(m_mutex);
    if (m_balance < 1 - RoundingTolerance) {
        return false;
    }
    m_balance -= 1;
    return true;
}

void RetryBudget::refund()
{
    const core::Lock lock(m_mutex);
    m_balance = std::min(m_balance + 1, maxBalance());
}

double RetryBudget::maxBalance() const
{
    if (m_configuredMaximum) {
        return m_ratio > 0 ? std::max(1.0, *m_configuredMaximum) : 0;
    }
    return m_ratio > 0 ? std::max(1.0, MaxCreditedFirstAttempts * m_ratio) : 0;
}

} // namespace pimentoshed::requests
