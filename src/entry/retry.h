/**
 * @file
 * Whether a request whose attempt failed goes to another target.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "requests/outcome.h"

#include <functional>
#include <unordered_map>

namespace pimentoshed::entry
{

/** A failed attempt and what could follow it. */
struct RetryCase {
    const configuration::Service &service;
    bool idempotent = false;
    /** What is known of the attempts so far, taken together. */
    requests::RunState run = requests::RunState::Unknown;
    unsigned attempts = 1;
    /** Time before the request's deadline. */
    core::Duration left{};
};

/** Whether a further attempt is made. Asked only where nothing of an answer was sent and the body is at hand. */
using RetryHook = std::function<bool(const RetryCase &)>;

/** Whether another attempt can do no harm and is in time. */
bool mayRunAgain(const RetryCase &failed);

/** Retries as a share of first attempts, per service. Thread-safe; rank Requests. */
class RetryBudget
{
public:
    /** Takes a first attempt, which earns the service its retry ratio. */
    void earn(const configuration::Service &service);

    /** Takes one retry out of the budget where it holds one. */
    bool spend(const configuration::Service &service);

private:
    core::RankedMutex m_mutex{core::LockRank::Requests};
    std::unordered_map<core::ServiceName, double> m_tokens;
};

/** Up to two further attempts within @p budget, which must outlive the hook. */
RetryHook retryWithin(RetryBudget &budget);

} // namespace pimentoshed::entry
