/**
 * @file
 * How many retries and hedges one service may have at this host.
 */
#pragma once

#include "core/rankedmutex.h"

#include <optional>

namespace pimentoshed::requests
{

/**
 * Each first try adds the service's ratio to a balance, each retry or hedge takes one from it: over any time that
 * starts with this host, repeats are at most that share of first tries. The balance is bounded, so that a calm hour
 * doesn't pay for a storm. Thread-safe; rank Requests.
 */
class RetryBudget
{
public:
    explicit RetryBudget(double ratio);

    /** Takes a new ratio; what is saved stays within its bound. */
    void configure(double ratio);

    /** Keeps the balance within @p most from now on, in place of what the ratio alone allows. */
    void setMaxBalance(double most);

    void recordFirstAttempt();

    /** Whether a repeat is paid for. */
    bool tryWithdraw();

    /** Gives back what a repeat took that was never sent. */
    void refund();

private:
    double bound() const;

    core::RankedMutex m_mutex{core::LockRank::Requests};
    double m_ratio;
    double m_balance = 0;
    std::optional<double> m_most;
};

} // namespace pimentoshed::requests
