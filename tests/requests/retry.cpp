#include "requests/retry.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pimentoshed;
using namespace std::chrono_literals;
using requests::Outcome;
using requests::RequestRun;
using requests::RequestTerms;
using requests::RetryBudget;
using requests::RunState;
using requests::StepKind;

namespace
{

const core::TimePoint Start{};
const core::TargetId First("t1");
const core::TargetId Second("t2");
constexpr core::Duration LateAfter = 20ms;

Outcome failed(RunState run)
{
    return {run, core::Error{core::ErrorCode::TargetFailed, {}}};
}

RequestTerms makeTerms(bool idempotent)
{
    return {idempotent, true, Start + 1s, {}};
}

/** A budget that pays for one repeat. */
struct OnePaid : RetryBudget {
    OnePaid()
        : RetryBudget(1)
    {
        noteFirstTry();
    }
};

} // namespace

TEST_CASE("what is proven not run is sent again to another target")
{
    OnePaid budget;
    RequestRun run(makeTerms(false), budget);
    CHECK(run.chain() == requests::CallChain{1, false});
    const auto attempt = run.begin(First, Start);
    CHECK(run.end(attempt, failed(RunState::NotRun), Start).kind == StepKind::Retry);
    CHECK(run.tried().front() == First);
    CHECK(run.chain() == requests::CallChain{1, true});
}

TEST_CASE("a non-idempotent request that may have run is not sent again")
{
    for (const auto state : {RunState::Ran, RunState::Unknown}) {
        OnePaid budget;
        RequestRun run(makeTerms(false), budget);
        const auto step = run.end(run.begin(First, Start), failed(state), Start);
        CHECK(step.kind == StepKind::Refuse);
        CHECK(step.outcome.run == state);
    }
}

TEST_CASE("a refusal says not run only if no attempt may have run")
{
    OnePaid budget;
    RequestRun run(makeTerms(true), budget);
    CHECK(run.end(run.begin(First, Start), failed(RunState::Unknown), Start).kind == StepKind::Retry);
    const auto step = run.end(run.begin(Second, Start), failed(RunState::NotRun), Start + 1s);
    CHECK(step.kind == StepKind::Refuse);
    CHECK(step.outcome.run == RunState::Unknown);
}

TEST_CASE("no repeat after the deadline, of lost content, without budget, or beside a level above")
{
    const auto kindWith = [](const RequestTerms &terms, double ratio, core::TimePoint now) {
        RetryBudget budget(ratio);
        RequestRun run(terms, budget);
        return run.end(run.begin(First, Start), failed(RunState::NotRun), now).kind;
    };
    auto terms = makeTerms(true);
    CHECK(kindWith(terms, 1, Start) == StepKind::Retry);
    CHECK(kindWith(terms, 1, Start + 1s) == StepKind::Refuse);
    CHECK(kindWith(terms, 0.5, Start) == StepKind::Refuse);
    terms.chain.repeated = true;
    CHECK(kindWith(terms, 1, Start) == StepKind::Refuse);
    terms.chain.repeated = false;
    terms.repeatable = false;
    CHECK(kindWith(terms, 1, Start) == StepKind::Refuse);
}

TEST_CASE("a late idempotent request is hedged once, and the loser is cancelled")
{
    OnePaid budget;
    RequestRun run(makeTerms(true), budget);
    const auto first = run.begin(First, Start);
    CHECK_FALSE(run.hedge(Start + LateAfter, LateAfter));
    CHECK(run.hedge(Start + LateAfter + 1ms, LateAfter));
    const auto second = run.begin(Second, Start + LateAfter + 1ms);
    CHECK_FALSE(run.hedge(Start + 10 * LateAfter, LateAfter));
    const auto step = run.end(second, {RunState::Ran, std::nullopt}, Start + 2 * LateAfter);
    CHECK(step.kind == StepKind::Deliver);
    CHECK(step.cancelled == std::vector{first});
}

TEST_CASE("while a hedge runs, the failure of the other waits for it")
{
    OnePaid budget;
    RequestRun run(makeTerms(true), budget);
    const auto first = run.begin(First, Start);
    REQUIRE(run.hedge(Start + 100ms, LateAfter));
    const auto second = run.begin(Second, Start + 100ms);
    CHECK(run.end(first, failed(RunState::Unknown), Start + 110ms).kind == StepKind::Wait);
    CHECK(run.end(second, failed(RunState::NotRun), Start + 120ms).kind != StepKind::Wait);
}

TEST_CASE("a non-idempotent request is never hedged")
{
    OnePaid budget;
    RequestRun run(makeTerms(false), budget);
    run.begin(First, Start);
    CHECK_FALSE(run.hedge(Start + 500ms, LateAfter));
}

TEST_CASE("a repeat that finds no target is given back")
{
    OnePaid budget;
    RequestRun run(makeTerms(true), budget);
    run.begin(First, Start);
    REQUIRE(run.hedge(Start + 100ms, LateAfter));
    CHECK(run.abandon().kind == StepKind::Wait);
    CHECK(budget.take());
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
            RequestRun run(makeTerms(idempotent), budget);
            unsigned mayHaveRun = 0;
            auto kind = StepKind::Retry;
            unsigned attempts = 0;
            while (kind == StepKind::Retry && position < script.size()) {
                const auto state = static_cast<RunState>(script[position++].second % 3);
                mayHaveRun += state != RunState::NotRun ? 1 : 0;
                kind = run.end(run.begin(First, Start), failed(state), Start).kind;
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
