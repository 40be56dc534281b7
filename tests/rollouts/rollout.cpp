#include "rollouts/rollout.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::rollouts;
using namespace std::chrono_literals;

namespace
{

Rollout running()
{
    Rollout rollout;
    rollout.order = {core::ServiceName("a"), "v2", 16s};
    return rollout;
}

Move move(unsigned step, MoveKind kind)
{
    return {1, step, kind, Reason::None, 1s};
}

} // namespace

TEST_CASE("A rollout takes each step once and ends complete")
{
    auto rollout = running();
    for (unsigned step = 0; step + 1 < Steps.size(); ++step) {
        CHECK(rollout.share() < 1);
        CHECK_FALSE(core::ok(rollout.apply(move(step, MoveKind::Complete))));
        CHECK(core::ok(rollout.apply(move(step, MoveKind::Advance))));
        CHECK_FALSE(core::ok(rollout.apply(move(step, MoveKind::Advance))));
    }
    CHECK(rollout.share() == 1);
    const auto last = static_cast<unsigned>(Steps.size() - 1);
    CHECK_FALSE(core::ok(rollout.apply(move(last, MoveKind::Advance))));
    CHECK(core::ok(rollout.apply(move(last, MoveKind::Complete))));
    CHECK(rollout.state == State::Complete);
    CHECK(rollout.share() == 1);
    CHECK_FALSE(core::ok(rollout.apply(move(last, MoveKind::RollBack))));
}

TEST_CASE("A rollout that went back gives the new version nothing and doesn't move any more")
{
    auto rollout = running();
    REQUIRE(core::ok(rollout.apply(move(0, MoveKind::Advance))));
    CHECK(core::ok(rollout.apply({1, 1, MoveKind::RollBack, Reason::Failures, 2s})));
    CHECK(rollout.state == State::RolledBack);
    CHECK(rollout.reason == Reason::Failures);
    CHECK(rollout.elapsed == 2s);
    CHECK(rollout.share() == 0);
    CHECK_FALSE(core::ok(rollout.apply(move(1, MoveKind::Advance))));
}

TEST_CASE("A move about another rollout of the service is refused")
{
    auto rollout = running();
    CHECK_FALSE(core::ok(rollout.apply({2, 0, MoveKind::RollBack, Reason::Failures, 1s})));
    CHECK(rollout == running());
}

TEST_CASE("Orders must name a version and a usable time")
{
    const core::ServiceName service("a");
    CHECK(core::ok(check({service, "v2", 12s})));
    for (const auto &order : {Order{service, "", 12s}, Order{service, "v 2", 12s}, Order{service, "v2", 10ms}}) {
        CHECK_FALSE(core::ok(check(order)));
    }
}
