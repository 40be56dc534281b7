/**
 * @file
 * What follows the end of an attempt, and when a late one is hedged.
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

/** What decides whether a request may be sent again. */
struct RequestProperties {
    bool idempotent = false;
    /** Whether its content can be sent again: it has no body, or all of it is kept. */
    bool isReplayable = false;
    core::TimePoint deadline{};
    CallChain chain;
};

/** What to do after an attempt has ended. */
enum class NextActionKind : std::uint8_t {
    /** The answer is the caller's; all other attempts are cancelled. */
    Deliver,
    /** Send it again, to a target that has not had it. */
    Retry,
    /** Another attempt still runs. */
    Wait,
    /** Tell the caller what is known. */
    Refuse,
};

inline constexpr std::array NextActionKindNames{
    core::EnumName<NextActionKind>{NextActionKind::Deliver, "deliver"},
    core::EnumName<NextActionKind>{NextActionKind::Retry, "retry"},
    core::EnumName<NextActionKind>{NextActionKind::Wait, "wait"},
    core::EnumName<NextActionKind>{NextActionKind::Refuse, "refuse"},
};

/** Names an attempt within its request. */
using AttemptIndex = std::size_t;

struct NextAction {
    NextActionKind kind = NextActionKind::Refuse;
    /** With Deliver: the attempts to cancel. */
    std::vector<AttemptIndex> cancelled;
    /** With Refuse: what is known of all attempts together. */
    RequestOutcome outcome;
};

/**
 * One request and its attempts. It is sent again only where the last attempt is proven not to have run, or where it is
 * idempotent, with time left, no level above repeating it, and a repeat paid for. Not thread-safe: belongs to the
 * request's coroutine.
 */
class RequestAttempts
{
public:
    RequestAttempts(const RequestProperties &terms, RetryBudget &budget);

    /** Notes that an attempt goes to @p target. The first is noted in the budget. */
    AttemptIndex beginAttempt(const core::TargetId &target, core::TimePoint now);

    /** What an attempt that begins now carries on. */
    CallChain chain() const;

    /** The targets that have had this request: not to be assigned again. */
    std::span<const core::TargetId> triedTargets() const;

    /**
     * Whether a second attempt should start beside the only one, which is late after @p lateAfter. If so, it is paid
     * for: begin it, or call abandon.
     */
    bool tryHedge(core::TimePoint now, core::Duration lateAfter);

    /** Takes the end of an attempt. With Retry the next one is paid for: begin it, or call abandon. */
    NextAction endAttempt(AttemptIndex attempt, const RequestOutcome &outcome, core::TimePoint now);

    /** A repeat that was granted finds no target. What to do instead: Wait or Refuse. */
    NextAction abandonRetry();

private:
    struct Attempt {
        core::TimePoint start{};
        bool running = true;
        RequestOutcome outcome;
    };

    bool mayRepeat(core::TimePoint now) const;
    std::size_t running() const;
    NextAction waitOrRefuse() const;
    RequestOutcome together() const;

    const RequestProperties m_terms;
    RetryBudget &m_budget;
    std::vector<Attempt> m_attempts;
    std::vector<core::TargetId> m_tried;
    bool m_hedged = false;
};

} // namespace pimentoshed::requests
