/**
 * @file
 * Limits the retries and hedges of one service at this host.
 */
#pragma once

#include "core/rankedmutex.h"

#include <optional>

namespace pimentoshed::requests
{

/**
 * Each first attempt adds the service's retry ratio to a balance, and each retry or hedge withdraws one from it. So
 * from the start of the host on, retries and hedges are at most that fraction of the first attempts. The balance has a
 * maximum, so that an hour without failures doesn't allow a burst of retries. Thread-safe; lock rank Requests.
 */
class RetryBudget
{
public:
    explicit RetryBudget(double ratio);

    /** Sets the retry ratio and reduces the balance to the maximum that follows from it. */
    void configure(double ratio);

    /** Sets the maximum of the balance to @p maximum, but at least one retry; replaces the default by the ratio. */
    void setMaxBalance(double maximum);

    void recordFirstAttempt();

    /** Withdraws one retry or hedge. Returns false if the balance doesn't cover it. */
    bool tryWithdraw();

    /** Returns a retry or hedge to the balance that was withdrawn but never sent. */
    void refund();

private:
    double maxBalance() const;

    core::RankedMutex m_mutex{core::LockRank::Requests};
    double m_ratio;
    double m_balance = 0;
    std::optional<double> m_configuredMaximum;
};

} // namespace pimentoshed::requests
