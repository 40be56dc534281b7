/**
 * @file
 * Decides whether a request is retried at another target after a failed attempt.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "requests/outcome.h"

#include <functional>
#include <unordered_map>

namespace pimentoshed::requests
{

/** A failed attempt, as input to the decision whether to retry. */
struct FailedAttempt {
    const configuration::Service &service;
    bool idempotent = false;
    /** Whether the request has run, over all attempts so far. */
    RunState runState = RunState::Unknown;
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

/** Combines the run states of all earlier attempts of a request and of the latest: NotRun only if none ran. */
RunState combineRunStates(RunState earlier, RunState latest);

/**
 * Limits each service's retries to a share of its first attempts. Each first attempt adds the service's retry ratio to
 * the unspent retries, and each retry takes one. Unspent retries have a maximum, so that an hour without failures
 * doesn't allow a burst of retries.
 *
 * Hedges, which are second attempts beside a slow first one, take from the same budget, so that both together stay
 * within the retry ratio. Retries come first: a hedge leaves a reserve for them, half of the maximum and at least one.
 * Hedges are also limited by the service's hedge ratio. Thread-safe; lock rank Requests.
 */
class RetryBudgets
{
public:
    /**
     * @p maxUnspent returns the most unspent retries of a service, at least one; without it, the retries that some
     * first attempts add. Called without the mutex.
     */
    explicit RetryBudgets(std::function<double()> maxUnspent = nullptr);

    /** Adds the service's ratios to its budgets, for a first attempt. */
    void earn(const configuration::Service &service);

    /** Takes one retry from the budget. Returns false if the budget holds less than one. */
    bool spend(const configuration::Service &service);

    /** Takes one hedge from the budgets. Returns false if they don't hold one besides the reserve for retries. */
    bool spendOnHedge(const configuration::Service &service);

    /** Takes back spendOnHedge() for an attempt that was not made. */
    void giveBackHedge(const configuration::Service &service);

private:
    /** Unspent attempts of a service. */
    struct Unspent {
        double retries = 0;
        /** The part of the retries that may be spent on hedges. */
        double hedges = 0;
    };

    double maxUnspent(const configuration::Service &service) const;

    const std::function<double()> m_maxUnspent;
    core::RankedMutex m_mutex{core::LockRank::Requests};
    std::unordered_map<core::ServiceName, Unspent> m_unspent;
};

/** Makes a hook that allows safe attempts while @p budgets hold retries. @p budgets must outlive the hook. */
RetryHook makeBudgetedRetryHook(RetryBudgets &budgets);

} // namespace pimentoshed::requests
