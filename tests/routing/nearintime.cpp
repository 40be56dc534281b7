#include "fixture.h"
#include "routing/servicerouter.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;
using namespace std::chrono_literals;
using routing::AttemptOutcome;
using routing::LoadReport;

namespace
{

constexpr unsigned Slots = 3;

LoadReport report(unsigned running, double slowness = 1)
{
    LoadReport made;
    made.running = running;
    made.slots = Slots;
    made.slowness = slowness;
    return made;
}

/** Two near targets and one far, at which work usually takes 100 ms. */
routing::ServiceRouter makeFleet()
{
    auto router = makeRouter(2, routing::PickerKind::NearInTime, Slots);
    router.update(makeTarget("far", "mezica"));
    for (unsigned i = 0; i < 100; ++i) {
        const auto assignment = core::value(router.assign(Start));
        router.release(assignment, {AttemptOutcome::Answered, 100ms, report(0)}, Start);
    }
    return router;
}

routing::AssignOptions within(core::Duration objective)
{
    routing::AssignOptions terms;
    terms.objective = objective;
    return terms;
}

core::TargetId chosen(routing::ServiceRouter &router, core::Duration objective)
{
    const auto assigned = router.assign(Start, within(objective));
    REQUIRE(core::ok(assigned));
    auto id = core::value(assigned).target->id;
    router.release(core::value(assigned), {AttemptOutcome::Cancelled, {}, {}}, Start);
    return id;
}

} // namespace

TEST_CASE("a request stays in its failure domain while a near target can do it in time")
{
    auto router = makeFleet();
    router.recordLoadReport(core::TargetId("t0"), report(0, 5), Start);
    router.recordLoadReport(core::TargetId("t1"), report(2), Start);
    router.recordLoadReport(core::TargetId("far"), report(0), Start);
    for (int i = 0; i < 20; ++i) {
        CHECK(chosen(router, 250ms) == core::TargetId("t1"));
    }
}

TEST_CASE("a request crosses to another failure domain where no near target can do it in time")
{
    auto router = makeFleet();
    router.recordLoadReport(core::TargetId("t0"), report(0, 5), Start);
    router.recordLoadReport(core::TargetId("t1"), report(Slots), Start);
    router.recordLoadReport(core::TargetId("far"), report(0), Start);
    CHECK(chosen(router, 250ms) == core::TargetId("far"));
}

TEST_CASE("full and slow targets are waited for, not queued at")
{
    auto router = makeFleet();
    router.recordLoadReport(core::TargetId("t0"), report(Slots), Start);
    router.recordLoadReport(core::TargetId("t1"), report(0, 5), Start);
    router.recordLoadReport(core::TargetId("far"), report(Slots + 2), Start);
    CHECK(core::error(router.assign(Start, within(250ms))).code == core::ErrorCode::NoTarget);
    // Who has no objective, or none that can be met, takes a slow one.
    CHECK(chosen(router, 5s) == core::TargetId("t1"));
}

TEST_CASE("this host's own requests since a report count on top of it")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    router.release(core::value(router.assign(Start)), {AttemptOutcome::Answered, 100ms, report(0)}, Start);
    router.recordLoadReport(core::TargetId("t0"), report(1), Start);
    CHECK(core::ok(router.assign(Start, within(1s))));
    CHECK(core::ok(router.assign(Start, within(1s))));
    CHECK_FALSE(core::ok(router.assign(Start, within(1s))));
}

TEST_CASE("a target that says nothing is left alone, ever longer, and taken back once it speaks")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    const core::TargetId id("t0");
    router.recordFailedProbe(id, true, Start);
    CHECK(router.shortlist(Start + 99ms, {}, 3).empty());
    CHECK(router.shortlist(Start + 100ms, {}, 3).size() == 1);
    router.recordFailedProbe(id, true, Start + 100ms);
    CHECK(router.shortlist(Start + 299ms, {}, 3).empty());
    router.recordLoadReport(id, report(0), Start + 250ms);
    CHECK(router.shortlist(Start + 250ms, {}, 3).size() == 1);
}

TEST_CASE("an answer that only comes late leaves a target in use, several in a row don't")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    const core::TargetId id("t0");
    router.recordFailedProbe(id, false, Start);
    router.recordFailedProbe(id, false, Start);
    CHECK(router.shortlist(Start, {}, 3).size() == 1);
    router.recordFailedProbe(id, false, Start);
    CHECK(router.shortlist(Start, {}, 3).empty());
}

TEST_CASE("only those that are named are chosen among, and only near ones where that is asked")
{
    auto router = makeFleet();
    const std::vector among{core::TargetId("far")};
    routing::AssignOptions terms;
    terms.allowedTargets = among;
    CHECK(core::value(router.assign(Start, terms)).target->id == core::TargetId("far"));
    terms = {};
    terms.localOnly = true;
    CHECK(router.shortlist(Start, terms, 3).size() == 2);
}

TEST_CASE("a target that says that it is cold is taken to be, whatever it announced")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    auto cold = report(0);
    cold.remainingColdTime = 2s;
    router.recordLoadReport(core::TargetId("t0"), cold, Start);
    CHECK(router.status(core::TargetId("t0")).isAssumedCold);
    // The service's cold slots bound it then.
    CHECK(core::ok(router.assign(Start)));
    CHECK_FALSE(core::ok(router.assign(Start)));
}

TEST_CASE("a host that has seen no request end leaves slow targets alone, by its objective")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    router.assumeObjective(250ms);
    router.recordLoadReport(core::TargetId("t0"), report(0, 5), Start);
    CHECK(core::error(router.assign(Start, within(250ms))).code == core::ErrorCode::NoTarget);
    router.recordLoadReport(core::TargetId("t0"), report(0), Start);
    CHECK(core::ok(router.assign(Start, within(250ms))));
}

TEST_CASE("what a target has just said rules it out, though this host took a while to read it")
{
    auto router = makeFleet();
    const std::vector among{core::TargetId("t0")};
    auto terms = within(250ms);
    terms.allowedTargets = among;
    router.recordLoadReport(core::TargetId("t0"), report(0, 5), Start);
    CHECK_FALSE(core::ok(router.assign(Start + 40ms, terms)));
    // One that can be asked again is not ruled out by so old a word.
    CHECK(router.shortlist(Start + 40ms, within(250ms), 3).size() == 3);
}

TEST_CASE("an idle target is of usual speed and has most of its slots free")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    router.assumeObjective(250ms);
    const core::TargetId id("t0");
    auto terms = within(1s);
    terms.idleOnly = true;
    for (const auto &[told, idle] : {std::pair(report(0), true),
                                     std::pair(report(1), true),
                                     std::pair(report(2), false),
                                     std::pair(report(0, 1.5), false)}) {
        router.recordLoadReport(id, told, Start);
        CHECK(router.shortlist(Start, terms, 1).empty() != idle);
    }
}
