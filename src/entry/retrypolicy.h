/**
 * @file
 * Whether a request whose attempt failed goes to another target.
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

/** A failed attempt and what could follow it. */
struct FailedAttempt {
    const configuration::Service &service;
    bool idempotent = false;
    /** What is known of the attempts so far, taken together. */
    requests::RunState run = requests::RunState::Unknown;
    /** Attempts that reached a target. */
    unsigned attempts = 1;
    /** Those that the request's route allows. */
    unsigned mostAttempts = 3;
    /** Time before the request's deadline. */
    core::Duration left{};
};

/** Whether a further attempt is made. Asked only where nothing of an answer was sent and the body is at hand. */
using RetryHook = std::function<bool(const FailedAttempt &)>;

/** Whether another attempt can do no harm and is in time. */
bool mayRunAgain(const FailedAttempt &failed);

/** The retries of each service as a share of its first attempts. Thread-safe; rank Requests. */
class RetryBudgets
{
public:
    /** @p most says how many retries a service may have in hand; without it, what its ratio alone allows. */
    explicit RetryBudgets(std::function<double()> most = nullptr);

    /** Takes a first attempt, which earns the service its retry ratio. */
    void earn(const configuration::Service &service);

    /** Takes one retry out of the budget where it holds one. */
    bool spend(const configuration::Service &service);

private:
    requests::RetryBudget &budgetOf(const configuration::Service &service);

    const std::function<double()> m_most;
    core::RankedMutex m_mutex{core::LockRank::Admission};
    std::unordered_map<core::ServiceName, std::unique_ptr<requests::RetryBudget>> m_budgets;
};

/** Further attempts within @p budgets, which must outlive the hook. */
RetryHook retryWithin(RetryBudgets &budgets);

} // namespace pimentoshed::entry
