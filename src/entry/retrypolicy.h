/**
 * @file
 * Decides whether a request is retried at another target after a failed attempt.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "requests/outcome.h"
#include "requests/retrybudget.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pimentoshed::entry
{

/** A failed attempt, as input to the decision whether to retry. */
struct FailedAttempt {
    const configuration::Service &service;
    bool idempotent = false;
    /** Whether the request has run, over all attempts so far. */
    requests::RunState runState = requests::RunState::Unknown;
    /** Attempts that reached a target. */
    unsigned attempts = 1;
    /** The most attempts that the request's route allows. */
    unsigned maxAttempts = 3;
    /** Time left until the request's deadline. */
    core::Duration timeLeft{};
};

/**
 * Whether to make another attempt. Called only if no part of a response was sent to the caller and the request's body
 * can be sent again.
 */
using RetryHook = std::function<bool(const FailedAttempt &)>;

/**
 * Whether another attempt is safe (the request is idempotent or has not run), within the route's attempt limit, and
 * before the deadline.
 */
bool canRetry(const FailedAttempt &failed);

/**
 * Limits each service's retries to a share of its first attempts. Thread-safe; lock ranks Admission,
 * then Requests.
 */
class RetryBudgets
{
public:
    /**
     * @p maxUnspent returns the most unspent retries that a service's budget may hold; without it, only the service's
     * retry ratio limits them.
     */
    explicit RetryBudgets(std::function<double()> maxUnspent = nullptr);

    /** Adds the service's retry ratio to its budget, for a first attempt. */
    void earn(const configuration::Service &service);

    /** Takes one retry from the budget. Returns false if the budget holds less than one. */
    bool spend(const configuration::Service &service);

private:
    requests::RetryBudget &budgetOf(const configuration::Service &service);

    const std::function<double()> m_maxUnspent;
    core::RankedMutex m_mutex{core::LockRank::Admission};
    std::unordered_map<core::ServiceName, std::unique_ptr<requests::RetryBudget>> m_budgets;
};

/** Makes a hook that allows safe attempts while @p budgets hold retries. @p budgets must outlive the hook. */
RetryHook makeBudgetedRetryHook(RetryBudgets &budgets);

} // namespace pimentoshed::entry
