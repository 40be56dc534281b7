/**
 * @file
 * Decides what follows the end of an attempt, and when a late attempt is hedged.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/time.h"
#include "requests/callchain.h"
#include "requests/outcome.h"
#include "requests/retrybudget.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace pimentoshed::requests
{

/** Properties of a request that decide whether it may be retried or hedged. */
struct RequestProperties {
    bool idempotent = false;
    /** Whether the content can be sent again: the request has no body, or the whole body is kept. */
    bool isReplayable = false;
    core::TimePoint deadline{};
    CallChain chain;
};

/** What to do after an attempt has ended. */
enum class NextActionKind : std::uint8_t {
    /** Deliver the response to the caller, and cancel all other attempts. */
    Deliver,
    /** Send the request again, to a target that was not tried yet. */
    Retry,
    /** Wait for another attempt, which is still running. */
    Wait,
    /** Send the caller an error with the combined outcome of all attempts. */
    Refuse,
};

inline constexpr std::array NextActionKindNames{
    core::EnumName<NextActionKind>{NextActionKind::Deliver, "deliver"},
    core::EnumName<NextActionKind>{NextActionKind::Retry, "retry"},
    core::EnumName<NextActionKind>{NextActionKind::Wait, "wait"},
    core::EnumName<NextActionKind>{NextActionKind::Refuse, "refuse"},
};

/** Index of an attempt within its request. */
using AttemptIndex = std::size_t;

struct NextAction {
    NextActionKind kind = NextActionKind::Refuse;
    /** For Deliver: the attempts to cancel. */
    std::vector<AttemptIndex> cancelled;
    /** For Deliver: outcome of the attempt. For Refuse: combined outcome of all attempts. */
    RequestOutcome outcome;
};

/**
 * The attempts of one request. A request is sent again only if the last attempt is proven not to have run or the
 * request is idempotent, and only before its deadline, if no level above in the call chain retries or hedges it, and if
 * the retry budget covers it. Not thread-safe: used only by the request's coroutine.
 */
class RequestAttempts
{
public:
    RequestAttempts(const RequestProperties &properties, RetryBudget &budget);

    /** Records an attempt at @p target. The first attempt of the request is also recorded in the budget. */
    AttemptIndex beginAttempt(const core::TargetId &target, core::TimePoint now);

    /** Call chain to send with an attempt that begins now. */
    CallChain chain() const;

    /** Targets that were already sent this request and must not be assigned to it again. */
    std::span<const core::TargetId> triedTargets() const;

    /**
     * Returns whether to start a hedge because the only running attempt is older than @p lateThreshold. If so, the
     * hedge is withdrawn from the budget: the caller must begin it or call abandonRetry().
     */
    bool tryHedge(core::TimePoint now, core::Duration lateThreshold);

    /**
     * Records the end of an attempt and returns what to do next. For Retry, the attempt is withdrawn from the budget:
     * the caller must begin it or call abandonRetry().
     */
    NextAction endAttempt(AttemptIndex attempt, const RequestOutcome &outcome, core::TimePoint now);

    /** Refunds a granted retry or hedge for which there is no target. Returns what to do instead: Wait or Refuse. */
    NextAction abandonRetry();

private:
    struct Attempt {
        core::TimePoint start{};
        bool isRunning = true;
        RequestOutcome outcome;
    };

    bool canSendAgain(core::TimePoint now) const;
    std::size_t runningCount() const;
    NextAction waitOrRefuse() const;
    RequestOutcome combinedOutcome() const;

    const RequestProperties m_properties;
    RetryBudget &m_budget;
    std::vector<Attempt> m_attempts;
    std::vector<core::TargetId> m_triedTargets;
    bool m_isHedged = false;
};

} // namespace pimentoshed::requests
