#include "replay/replay.h"

#include "replay/workload.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using targets::Condition;

namespace
{

template<typename Action>
void add(replay::Trace &trace, core::Duration at, Action action)
{
    trace.events.push_back({core::TimePoint(at), action});
}

replay::Trace sorted(replay::Trace trace)
{
    std::stable_sort(trace.events.begin(), trace.events.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    });
    return trace;
}

replay::Trace makeTrace(std::uint64_t seed)
{
    replay::Workload workload;
    workload.length = 4s;
    workload.load = 0.3;
    return replay::makeTrace(workload, seed);
}

const core::TargetId First("target-0");
const core::TargetId Second("target-1");

void checkAll(const replay::Trace &trace)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto summary = replay::run(sorted(trace), {}, seed);
        INFO("seed " << seed);
        for (const auto &[invariant, count] : summary.violations) {
            UNSCOPED_INFO(core::nameOf(replay::InvariantNames, invariant) << ": " << count);
        }
        CHECK(summary.violations.empty());
        CHECK(summary.answered + summary.refused == summary.requests);
        CHECK(summary.refused * 100 < summary.requests);
    }
}

} // namespace

TEST_CASE("the invariants hold while a failure domain is taken out and returns with cold targets only")
{
    auto trace = makeTrace(1);
    const core::FailureDomain mezica("mezica");
    add(trace, 1s, replay::DomainChange{mezica, true});
    for (const auto &target : trace.targets) {
        if (target.domain == mezica) {
            add(trace, 2s, replay::TargetConditionChange{target.id, Condition::Cold});
            add(trace, 3500ms, replay::TargetConditionChange{target.id, Condition::Warm});
        }
    }
    // The announcements that the targets are cold reach every host before the domain returns.
    add(trace, 2s + replay::MaxPropagationDelay, replay::DomainChange{mezica, false});
    checkAll(trace);
}

TEST_CASE("the invariants hold while targets leave, fail fast and report a wrong load")
{
    auto trace = makeTrace(2);
    add(trace, 1s, replay::TargetConditionChange{First, Condition::Leaving});
    add(trace, 2s, replay::TargetFailure{Second, 1s});
    add(trace, 0s, replay::TargetMisreport{core::TargetId("target-2"), 0});
    add(trace, 0s, replay::TargetMisreport{core::TargetId("target-3"), 1000});
    checkAll(trace);
}

TEST_CASE("the invariants hold for non-idempotent requests while targets fail")
{
    auto trace = makeTrace(3);
    for (auto &event : trace.events) {
        if (auto *arrival = std::get_if<replay::RequestArrival>(&event.action)) {
            arrival->idempotent = false;
        }
    }
    add(trace, 1s, replay::TargetFailure{First, 2s});
    add(trace, 1s, replay::TargetFailure{Second, 2s});
    checkAll(trace);
}

TEST_CASE("a replay gives the same results for the same trace and seed")
{
    const auto trace = makeTrace(4);
    const auto first = replay::run(trace, {}, 5);
    const auto second = replay::run(trace, {}, 5);
    CHECK(first.latencies == second.latencies);
    CHECK(first.messages == second.messages);
}
