#include "requests/requestattempts.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pimentoshed;
using namespace std::chrono_literals;
using requests::NextActionKind;
using requests::RequestAttempts;
using requests::RequestOutcome;
using requests::RequestProperties;
using requests::RetryBudget;
using requests::RunState;

namespace
{

const core::TimePoint Start{};
const core::TargetId First("t1");
const core::TargetId Second("t2");
constexpr core::Duration LateThreshold = 20ms;

RequestOutcome makeFailure(RunState attempts)
{
    return {attempts, core::Error{core::ErrorCode::TargetFailed, {}}};
}

RequestProperties makeProperties(bool idempotent)
{
    return {idempotent, true, Start + 1s, {}};
}

/** A budget that covers one retry or hedge. */
struct BudgetForOneRetry : RetryBudget {
    BudgetForOneRetry()
        : RetryBudget(1)
    {
        recordFirstAttempt();
    }
};

} // namespace

TEST_CASE("a request that is proven not to have run is retried at another target")
{
    BudgetForOneRetry budget;
    RequestAttempts attempts(makeProperties(false), budget);
    CHECK(attempts.chain() == requests::CallChain{1, false});
    const auto attempt = attempts.beginAttempt(First, Start);
    CHECK(attempts.endAttempt(attempt, makeFailure(RunState::NotRun), Start).kind == NextActionKind::Retry);
    CHECK(attempts.triedTargets().front() == First);
    CHECK(attempts.chain() == requests::CallChain{1, true});
}

TEST_CASE("a non-idempotent request that may have run is not retried")
{
    for (const auto state : {RunState::Ran, RunState::Unknown}) {
        BudgetForOneRetry budget;
        RequestAttempts attempts(makeProperties(false), budget);
        const auto action = attempts.endAttempt(attempts.beginAttempt(First, Start), makeFailure(state), Start);
        CHECK(action.kind == NextActionKind::Refuse);
        CHECK(action.outcome.run == state);
    }
}

TEST_CASE("a refusal reports not run only if no attempt can have run")
{
    BudgetForOneRetry budget;
    RequestAttempts attempts(makeProperties(true), budget);
    CHECK(attempts.endAttempt(attempts.beginAttempt(First, Start), makeFailure(RunState::Unknown), Start).kind
          == NextActionKind::Retry);
    const auto action =
        attempts.endAttempt(attempts.beginAttempt(Second, Start), makeFailure(RunState::NotRun), Start + 1s);
    CHECK(action.kind == NextActionKind::Refuse);
    CHECK(action.outcome.run == RunState::Unknown);
}

TEST_CASE("a request is not retried after its deadline, without its content, without budget, or below a retrying level")
{
    const auto actionAfterFailure = [](const RequestProperties &properties, double ratio, core::TimePoint now) {
        RetryBudget budget(ratio);
        RequestAttempts attempts(properties, budget);
        return attempts.endAttempt(attempts.beginAttempt(First, Start), makeFailure(RunState::NotRun), now).kind;
    };
    auto properties = makeProperties(true);
    CHECK(actionAfterFailure(properties, 1, Start) == NextActionKind::Retry);
    CHECK(actionAfterFailure(properties, 1, Start + 1s) == NextActionKind::Refuse);
    CHECK(actionAfterFailure(properties, 0.5, Start) == NextActionKind::Refuse);
    properties.chain.isRetryOrHedge = true;
    CHECK(actionAfterFailure(properties, 1, Start) == NextActionKind::Refuse);
    properties.chain.isRetryOrHedge = false;
    properties.isReplayable = false;
    CHECK(actionAfterFailure(properties, 1, Start) == NextActionKind::Refuse);
}

TEST_CASE("a late idempotent request is hedged once, and the slower attempt is cancelled")
{
    BudgetForOneRetry budget;
    RequestAttempts attempts(makeProperties(true), budget);
    const auto first = attempts.beginAttempt(First, Start);
    CHECK_FALSE(attempts.tryHedge(Start + LateThreshold, LateThreshold));
    CHECK(attempts.tryHedge(Start + LateThreshold + 1ms, LateThreshold));
    const auto second = attempts.beginAttempt(Second, Start + LateThreshold + 1ms);
    CHECK_FALSE(attempts.tryHedge(Start + 10 * LateThreshold, LateThreshold));
    const auto action = attempts.endAttempt(second, {RunState::Ran, std::nullopt}, Start + 2 * LateThreshold);
    CHECK(action.kind == NextActionKind::Deliver);
    CHECK(action.cancelled == std::vector{first});
}

TEST_CASE("a failed attempt waits for the result of a running hedge")
{
    BudgetForOneRetry budget;
    RequestAttempts attempts(makeProperties(true), budget);
    const auto first = attempts.beginAttempt(First, Start);
    REQUIRE(attempts.tryHedge(Start + 100ms, LateThreshold));
    const auto second = attempts.beginAttempt(Second, Start + 100ms);
    CHECK(attempts.endAttempt(first, makeFailure(RunState::Unknown), Start + 110ms).kind == NextActionKind::Wait);
    CHECK(attempts.endAttempt(second, makeFailure(RunState::NotRun), Start + 120ms).kind != NextActionKind::Wait);
}

TEST_CASE("a non-idempotent request is never hedged")
{
    BudgetForOneRetry budget;
    RequestAttempts attempts(makeProperties(false), budget);
    attempts.beginAttempt(First, Start);
    CHECK_FALSE(attempts.tryHedge(Start + 500ms, LateThreshold));
}

TEST_CASE("a retry or hedge without a target is refunded to the budget")
{
    BudgetForOneRetry budget;
    RequestAttempts attempts(makeProperties(true), budget);
    attempts.beginAttempt(First, Start);
    REQUIRE(attempts.tryHedge(Start + 100ms, LateThreshold));
    CHECK(attempts.abandonRetry().kind == NextActionKind::Wait);
    CHECK(budget.tryWithdraw());
}

TEST_CASE("for random outcomes, a non-idempotent request never runs twice and retries stay within the budget")
{
    const auto isPassing = rc::check([](const std::vector<std::pair<bool, std::uint8_t>> &script) {
        RetryBudget budget(0.2);
        unsigned firstAttempts = 0;
        unsigned retries = 0;
        std::size_t position = 0;
        while (position < script.size()) {
            const bool idempotent = script[position].first;
            RequestAttempts attempts(makeProperties(idempotent), budget);
            unsigned mayHaveRun = 0;
            auto kind = NextActionKind::Retry;
            unsigned attemptCount = 0;
            while (kind == NextActionKind::Retry && position < script.size()) {
                const auto state = static_cast<RunState>(script[position++].second % 3);
                mayHaveRun += state != RunState::NotRun ? 1 : 0;
                kind = attempts.endAttempt(attempts.beginAttempt(First, Start), makeFailure(state), Start).kind;
                ++attemptCount;
            }
            ++firstAttempts;
            retries += attemptCount - 1;
            RC_ASSERT(idempotent || mayHaveRun <= 1U);
            RC_ASSERT(5 * retries <= firstAttempts);
        }
    });
    CHECK(isPassing);
}
