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

LoadReport makeReport(unsigned running, double slowness = 1)
{
    LoadReport report;
    report.running = running;
    report.slots = Slots;
    report.slowness = slowness;
    return report;
}

/** Two local targets and a remote one, with a usual processing time of 100 ms. */
routing::ServiceRouter makeFleet()
{
    auto router = makeRouter(2, routing::PickerKind::NearInTime, Slots);
    router.update(makeTarget("far", "mezica"));
    for (unsigned i = 0; i < 100; ++i) {
        const auto assignment = core::value(router.assign(Start));
        router.release(assignment, {AttemptOutcome::Answered, 100ms, routing::TargetSignals{makeReport(0)}}, Start);
    }
    return router;
}

routing::AssignOptions optionsWithObjective(core::Duration objective)
{
    routing::AssignOptions options;
    options.objective = objective;
    return options;
}

core::TargetId chooseTarget(routing::ServiceRouter &router, core::Duration objective)
{
    const auto assigned = router.assign(Start, optionsWithObjective(objective));
    REQUIRE(core::ok(assigned));
    auto id = core::value(assigned).target->id;
    router.release(core::value(assigned), {AttemptOutcome::Cancelled, {}, {}}, Start);
    return id;
}

} // namespace

TEST_CASE("a request stays in its failure domain while a local target can complete it in time")
{
    auto router = makeFleet();
    router.recordSignals(makeTarget("t0"), {makeReport(0, 5)}, Start, Start);
    router.recordSignals(makeTarget("t1"), {makeReport(2)}, Start, Start);
    router.recordSignals(makeTarget("far"), {makeReport(0)}, Start, Start);
    for (int i = 0; i < 20; ++i) {
        CHECK(chooseTarget(router, 250ms) == core::TargetId("t1"));
    }
}

TEST_CASE("a request crosses to another failure domain if no local target can complete it in time")
{
    auto router = makeFleet();
    router.recordSignals(makeTarget("t0"), {makeReport(0, 5)}, Start, Start);
    router.recordSignals(makeTarget("t1"), {makeReport(Slots)}, Start, Start);
    router.recordSignals(makeTarget("far"), {makeReport(0)}, Start, Start);
    CHECK(chooseTarget(router, 250ms) == core::TargetId("far"));
}

TEST_CASE("a request gets no target while all are full or too slow for its objective")
{
    auto router = makeFleet();
    router.recordSignals(makeTarget("t0"), {makeReport(Slots)}, Start, Start);
    router.recordSignals(makeTarget("t1"), {makeReport(0, 5)}, Start, Start);
    router.recordSignals(makeTarget("far"), {makeReport(Slots + 2)}, Start, Start);
    CHECK(core::error(router.assign(Start, optionsWithObjective(250ms))).code == core::ErrorCode::NoTarget);
    // With an objective that it can meet, the slow target is chosen.
    CHECK(chooseTarget(router, 5s) == core::TargetId("t1"));
}

TEST_CASE("requests that this host assigned after a load report are added to the reported load")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    router.release(core::value(router.assign(Start)),
                   {AttemptOutcome::Answered, 100ms, routing::TargetSignals{makeReport(0)}},
                   Start);
    router.recordSignals(makeTarget("t0"), {makeReport(1)}, Start, Start);
    CHECK(core::ok(router.assign(Start, optionsWithObjective(1s))));
    CHECK(core::ok(router.assign(Start, optionsWithObjective(1s))));
    CHECK_FALSE(core::ok(router.assign(Start, optionsWithObjective(1s))));
}

TEST_CASE("failed probes back off from a target for doubling pauses, and a load report ends the back-off")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    const core::TargetId id("t0");
    router.recordFailedProbe(id, true, Start);
    CHECK(router.shortlist(Start + 99ms, {}, 3).empty());
    CHECK(router.shortlist(Start + 100ms, {}, 3).size() == 1);
    router.recordFailedProbe(id, true, Start + 100ms);
    CHECK(router.shortlist(Start + 299ms, {}, 3).empty());
    router.recordSignals(makeTarget(id.str()), {makeReport(0)}, Start + 250ms, Start + 250ms);
    CHECK(router.shortlist(Start + 250ms, {}, 3).size() == 1);
}

TEST_CASE("a single late probe response keeps a target in use, several in a row don't")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    const core::TargetId id("t0");
    router.recordFailedProbe(id, false, Start);
    router.recordFailedProbe(id, false, Start);
    CHECK(router.shortlist(Start, {}, 3).size() == 1);
    router.recordFailedProbe(id, false, Start);
    CHECK(router.shortlist(Start, {}, 3).empty());
}

TEST_CASE("assignment is restricted to the allowed targets, or to local targets")
{
    auto router = makeFleet();
    const std::vector allowed{core::TargetId("far")};
    routing::AssignOptions options;
    options.allowedTargets = allowed;
    CHECK(core::value(router.assign(Start, options)).target->id == core::TargetId("far"));
    options = {};
    options.localOnly = true;
    CHECK(router.shortlist(Start, options, 3).size() == 2);
}

TEST_CASE("a target whose load report says cold counts as cold, whatever it announced")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    auto cold = makeReport(0);
    cold.remainingColdTime = 2s;
    router.recordSignals(makeTarget("t0"), {cold}, Start, Start);
    CHECK(router.status(core::TargetId("t0")).isAssumedCold);
    // The service's cold slots are then its limit.
    CHECK(core::ok(router.assign(Start)));
    CHECK_FALSE(core::ok(router.assign(Start)));
}

TEST_CASE("before any request has ended, the assumed processing time excludes slow targets")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    router.assumeObjective(250ms);
    router.recordSignals(makeTarget("t0"), {makeReport(0, 5)}, Start, Start);
    CHECK(core::error(router.assign(Start, optionsWithObjective(250ms))).code == core::ErrorCode::NoTarget);
    router.recordSignals(makeTarget("t0"), {makeReport(0)}, Start, Start);
    CHECK(core::ok(router.assign(Start, optionsWithObjective(250ms))));
}

TEST_CASE("a load report of an allowed target excludes it even if it is not fresh any more")
{
    auto router = makeFleet();
    const std::vector allowed{core::TargetId("t0")};
    auto options = optionsWithObjective(250ms);
    options.allowedTargets = allowed;
    router.recordSignals(makeTarget("t0"), {makeReport(0, 5)}, Start, Start);
    CHECK_FALSE(core::ok(router.assign(Start + 40ms, options)));
    // Without that restriction the target can be probed again, so a report of this age does not exclude it.
    CHECK(router.shortlist(Start + 40ms, optionsWithObjective(250ms), 3).size() == 3);
}

TEST_CASE("an idle target is of usual speed and has most of its slots free")
{
    auto router = makeRouter(1, routing::PickerKind::NearInTime, Slots);
    router.assumeObjective(250ms);
    const core::TargetId id("t0");
    auto options = optionsWithObjective(1s);
    options.idleOnly = true;
    for (const auto &[loadReport, isIdle] : {std::pair(makeReport(0), true),
                                             std::pair(makeReport(1), true),
                                             std::pair(makeReport(2), false),
                                             std::pair(makeReport(0, 1.5), false)}) {
        router.recordSignals(makeTarget(id.str()), {loadReport}, Start, Start);
        CHECK(router.shortlist(Start, options, 1).empty() != isIdle);
    }
}
