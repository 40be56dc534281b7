/**
 * @file
 * Keeps requests within the quotas of their workspaces.
 */
#pragma once

#include "core/timerservice.h"
#include "entry/activerequest.h"
#include "quotas/decision.h"

namespace pimentoshed::entry
{

/** Takes and gives back the tokens of requests. Requests without a limited workspace need none. */
class RequestQuota
{
public:
    RequestQuota(const core::TimerService &timers, quotas::SpendHook spend, quotas::GiveBackHook giveBack);

    /**
     * Takes a token for @p request, unless it has one with which it may still be sent; suspends its coroutine for a
     * small part of its objective at most. Errors: OverQuota, QuotaUnknown; the request's retryAfter is set then.
     */
    core::Status take(ActiveRequest &request) const;

    /** Whether @p request may be sent now without another token. */
    bool isCovered(const ActiveRequest &request) const;

    /** Gives back the token of a request that did not run and will not be sent again. */
    void giveBack(ActiveRequest &request) const;

private:
    core::TimePoint latestDecision(const ActiveRequest &request) const;

    const core::TimerService &m_timers;
    const quotas::SpendHook m_spend;
    const quotas::GiveBackHook m_giveBack;
};

} // namespace pimentoshed::entry
