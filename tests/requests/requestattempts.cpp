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
constexpr core::Duration LateAfter = 20ms;

RequestOutcome failed(RunState run)
{
    return {run, core::Error{core::ErrorCode::TargetFailed, {}}};
}

RequestProperties makeTerms(bool idempotent)
{
    return {idempotent, true, Start + 1s, {}};
}

/** A budget that pays for one repeat. */
struct OnePaid : RetryBudget {
    OnePaid()
        : RetryBudget(1)
    {
        recordFirstAttempt();
    }
};

} // namespace

TEST_CASE("what is proven not run is sent again to another target")
{
    OnePaid budget;
    RequestAttempts run(makeTerms(false), budget);
    CHECK(run.chain() == requests::CallChain{1, false});
    const auto attempt = run.beginAttempt(First, Start);
    CHECK(run.endAttempt(attempt, failed(RunState::NotRun), Start).kind == NextActionKind::Retry);
    CHECK(run.triedTargets().front() == First);
    CHECK(run.chain() == requests::CallChain{1, true});
}

TEST_CASE("a non-idempotent request that may have run is not sent again")
{
    for (const auto state : {RunState::Ran, RunState::Unknown}) {
        OnePaid budget;
        RequestAttempts run(makeTerms(false), budget);
        const auto step = run.endAttempt(run.beginAttempt(First, Start), failed(state), Start);
        CHECK(step.kind == NextActionKind::Refuse);
        CHECK(step.outcome.run == state);
    }
}

TEST_CASE("a refusal says not run only if no attempt may have run")
{
    OnePaid budget;
    RequestAttempts run(makeTerms(true), budget);
    CHECK(run.endAttempt(run.beginAttempt(First, Start), failed(RunState::Unknown), Start).kind
          == NextActionKind::Retry);
    const auto step = run.endAttempt(run.beginAttempt(Second, Start), failed(RunState::NotRun), Start + 1s);
    CHECK(step.kind == NextActionKind::Refuse);
    CHECK(step.outcome.run == RunState::Unknown);
}

TEST_CASE("no repeat after the deadline, of lost content, without budget, or beside a level above")
{
    const auto kindWith = [](const RequestProperties &terms, double ratio, core::TimePoint now) {
        RetryBudget budget(ratio);
        RequestAttempts run(terms, budget);
        return run.endAttempt(run.beginAttempt(First, Start), failed(RunState::NotRun), now).kind;
    };
    auto terms = makeTerms(true);
    CHECK(kindWith(terms, 1, Start) == NextActionKind::Retry);
    CHECK(kindWith(terms, 1, Start + 1s) == NextActionKind::Refuse);
    CHECK(kindWith(terms, 0.5, Start) == NextActionKind::Refuse);
    terms.chain.isRetryOrHedge = true;
    CHECK(kindWith(terms, 1, Start) == NextActionKind::Refuse);
    terms.chain.isRetryOrHedge = false;
    terms.isReplayable = false;
    CHECK(kindWith(terms, 1, Start) == NextActionKind::Refuse);
}

TEST_CASE("a late idempotent request is hedged once, and the loser is cancelled")
{
    OnePaid budget;
    RequestAttempts run(makeTerms(true), budget);
    const auto first = run.beginAttempt(First, Start);
    CHECK_FALSE(run.tryHedge(Start + LateAfter, LateAfter));
    CHECK(run.tryHedge(Start + LateAfter + 1ms, LateAfter));
    const auto second = run.beginAttempt(Second, Start + LateAfter + 1ms);
    CHECK_FALSE(run.tryHedge(Start + 10 * LateAfter, LateAfter));
    const auto step = run.endAttempt(second, {RunState::Ran, std::nullopt}, Start + 2 * LateAfter);
    CHECK(step.kind == NextActionKind::Deliver);
    CHECK(step.cancelled == std::vector{first});
}

TEST_CASE("while a hedge runs, the failure of the other waits for it")
{
    OnePaid budget;
    RequestAttempts run(makeTerms(true), budget);
    const auto first = run.beginAttempt(First, Start);
    REQUIRE(run.tryHedge(Start + 100ms, LateAfter));
    const auto second = run.beginAttempt(Second, Start + 100ms);
    CHECK(run.endAttempt(first, failed(RunState::Unknown), Start + 110ms).kind == NextActionKind::Wait);
    CHECK(run.endAttempt(second, failed(RunState::NotRun), Start + 120ms).kind != NextActionKind::Wait);
}

TEST_CASE("a non-idempotent request is never hedged")
{
    OnePaid budget;
    RequestAttempts run(makeTerms(false), budget);
    run.beginAttempt(First, Start);
    CHECK_FALSE(run.tryHedge(Start + 500ms, LateAfter));
}

TEST_CASE("a repeat that finds no target is given back")
{
    OnePaid budget;
    RequestAttempts run(makeTerms(true), budget);
    run.beginAttempt(First, Start);
    REQUIRE(run.tryHedge(Start + 100ms, LateAfter));
    CHECK(run.abandonRetry().kind == NextActionKind::Wait);
    CHECK(budget.tryWithdraw());
}

TEST_CASE("whatever happens, a non-idempotent request never runs twice and repeats stay within budget")
{
    const auto holds = rc::check([](const std::vector<std::pair<bool, std::uint8_t>> &script) {
        RetryBudget budget(0.2);
        unsigned firstTries = 0;
        unsigned repeats = 0;
        std::size_t position = 0;
        while (position < script.size()) {
            const bool idempotent = script[position].first;
            RequestAttempts run(makeTerms(idempotent), budget);
            unsigned mayHaveRun = 0;
            auto kind = NextActionKind::Retry;
            unsigned attempts = 0;
            while (kind == NextActionKind::Retry && position < script.size()) {
                const auto state = static_cast<RunState>(script[position++].second % 3);
                mayHaveRun += state != RunState::NotRun ? 1 : 0;
                kind = run.endAttempt(run.beginAttempt(First, Start), failed(state), Start).kind;
                ++attempts;
            }
            ++firstTries;
            repeats += attempts - 1;
            RC_ASSERT(idempotent || mayHaveRun <= 1U);
            RC_ASSERT(5 * repeats <= firstTries);
        }
    });
    CHECK(holds);
}
