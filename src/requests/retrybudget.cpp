#include "requests/retrybudget.h"

#include <algorithm>

namespace pimentoshed::requests
{

namespace
{

/** First tries that the balance holds the ratio of, at most. */
constexpr double FirstTriesKept = 100;
/** A balance of sums of ratios may fall short of a whole repeat by rounding. */
constexpr double Rounding = 1e-9;

} // namespace

RetryBudget::RetryBudget(double ratio)
    : m_ratio(ratio)
{
}

void RetryBudget::configure(double ratio)
{
    const core::Lock lock(m_mutex);
    m_ratio = ratio;
    m_balance = std::min(m_balance, bound());
}

void RetryBudget::setMaxBalance(double most)
{
    const core::Lock lock(m_mutex);
    m_most = most;
    m_balance = std::min(m_balance, bound());
}

void RetryBudget::recordFirstAttempt()
{
    const core::Lock lock(m_mutex);
    m_balance = std::min(m_balance + m_ratio, bound());
}

bool RetryBudget::tryWithdraw()
{
    const core::Lock lock(m_mutex);
    if (m_balance < 1 - Rounding) {
        return false;
    }
    m_balance -= 1;
    return true;
}

void RetryBudget::refund()
{
    const core::Lock lock(m_mutex);
    m_balance = std::min(m_balance + 1, bound());
}

double RetryBudget::bound() const
{
    if (m_most) {
        return m_ratio > 0 ? std::max(1.0, *m_most) : 0;
    }
    return m_ratio > 0 ? std::max(1.0, FirstTriesKept * m_ratio) : 0;
}

} // namespace pimentoshed::requests
