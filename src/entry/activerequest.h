/**
 * @file
 * A caller's request in progress, as it passes from step to step.
 */
#pragma once

#include "core/ids.h"
#include "entry/clusterview.h"
#include "http/exchange.h"
#include "quotas/decision.h"
#include "requests/outcome.h"
#include "requests/requestsinprogress.h"
#include "requests/retrypolicy.h"
#include "requests/waitingrequest.h"
#include "routing/assignoptions.h"
#include "workspaces/caller.h"

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace pimentoshed::entry
{

using ConfigurationRef = std::shared_ptr<const EntryConfiguration>;

/** The right to send a request of a workspace. */
struct QuotaToken {
    std::shared_ptr<const configuration::Workspace> workspace;
    quotas::Token token;
};

/** A request in progress. Belongs to the coroutine of its exchange. */
struct ActiveRequest {
    http::Exchange &exchange;
    /** The times of the request, and what ends its wait. */
    requests::WaitingRequest waiting;
    /** Read from the head, because the body's trailers could add others. */
    workspaces::PresentedKey key{};
    /** The configuration that the request follows, and its caller, route and service there. */
    ConfigurationRef active{};
    workspaces::Caller caller{};
    const configuration::Route *route = nullptr;
    const configuration::Service *service = nullptr;
    /** The versions of targets that the next attempt may go to; all unless the service has had a rollout. */
    std::optional<routing::ChosenVersion> version{};
    /** The request's row in the table of requests in progress; none until its deadline is known. */
    requests::RequestsInProgress::Row *row = nullptr;
    /** Time spent so far to find targets with capacity. */
    core::Duration assignmentTime{};
    /** Targets that were probed for the latest attempt, and those that responded. */
    std::size_t probedTargets = 0;
    std::size_t respondingTargets = 0;
    /** Whether as many targets as necessary were probed once. Later attempts of a waiting request probe a few. */
    bool hasSurveyed = false;
    /** Targets already tried, those included to which no connection could be made. */
    std::vector<core::TargetId> triedTargets{};
    /** Number of attempts that sent the complete head of the request. */
    unsigned attemptsSent = 0;
    requests::RequestOutcome outcome{};
    /** None if the request's workspace is not limited, and before it is known to be within its quota. */
    std::optional<QuotaToken> quotaToken{};
    /** When the caller may return, if the quota of its workspace says so. */
    std::optional<core::Duration> retryAfter{};
};

/** The attempts of @p request so far, as input to the decision whether to make another one at @p now. */
inline requests::FailedAttempt latestAttempt(const ActiveRequest &request, core::TimePoint now)
{
    return {*request.service,
            request.waiting.isIdempotent(),
            request.outcome.run,
            request.attemptsSent,
            request.route->maxAttempts,
            request.waiting.deadline() - now};
}

/** Lets @p duration pass. Returns whether the caller is still connected. */
inline bool waitFor(http::Exchange &exchange, core::Duration duration)
{
    boost::asio::steady_timer timer(exchange.stream().get_executor(),
                                    std::chrono::duration_cast<boost::asio::steady_timer::duration>(duration));
    boost::system::error_code ignored;
    timer.async_wait(exchange.yield()[ignored]);
    return !exchange.hasCallerLeft();
}

} // namespace pimentoshed::entry
