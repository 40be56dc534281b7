#include "fixture.h"
#include "routing/servicerouter.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;
using namespace std::chrono_literals;
using routing::AttemptOutcome;

namespace
{

constexpr unsigned Slots = 2;
constexpr core::Duration Usual = 100ms;

routing::TargetSignals report(unsigned running, unsigned waiting)
{
    routing::TargetSignals signals;
    signals.load = routing::LoadReport{running, waiting, Slots};
    return signals;
}

/** A router whose requests usually take 100 ms, and a target of which has reported a queue of four. */
routing::ServiceRouter makeExperiencedRouter()
{
    auto router = makeRouter(3, routing::PickerKind::NearInTime, Slots);
    for (unsigned i = 0; i < 30; ++i) {
        router.release(core::value(router.assign(Start)), {AttemptOutcome::Answered, Usual, report(0, 0)}, Start);
    }
    router.recordSignals(makeTarget("t2"), report(Slots, 4), Start, Start);
    return router;
}

routing::AssignOptions probed(std::span<const core::TargetId> ids)
{
    routing::AssignOptions options;
    options.allowedTargets = ids;
    options.probationNeedsReport = true;
    return options;
}

/** Sends a request to the first of the targets on a report that is old, and ends it without a sign. */
void beSilent(routing::ServiceRouter &router, const std::vector<core::TargetId> &ids, core::TimePoint now)
{
    const auto assigned = router.assign(now, probed(ids));
    REQUIRE(core::ok(assigned));
    REQUIRE(core::value(assigned).silenceLimit);
    router.release(core::value(assigned), {AttemptOutcome::Silent, 1s, {}}, now + 1s);
}

} // namespace

TEST_CASE("a target that was known to have room gives no reason to expect silence")
{
    auto router = makeExperiencedRouter();
    const std::vector ids{core::TargetId("t0")};
    router.recordSignals(makeTarget("t0"), report(0, 0), Start, Start);
    const auto fresh = router.assign(Start + 2ms, probed(ids));
    REQUIRE(core::ok(fresh));
    CHECK_FALSE(core::value(fresh).silenceLimit);
    // Its end without an answer counts as a failure, as for any service.
    router.release(core::value(fresh), {AttemptOutcome::Silent, 1s, {}}, Start + 1s);
    CHECK(router.status(core::TargetId("t0")).isOutlier);
}

TEST_CASE("a silent target counts as full, not as failing, until a later report shows a free slot")
{
    auto router = makeExperiencedRouter();
    const std::vector ids{core::TargetId("t2")};
    beSilent(router, ids, Start + 10s);
    const auto now = Start + 11s;
    CHECK_FALSE(router.status(ids[0]).isOutlier);
    CHECK_FALSE(core::ok(router.assign(now, probed(ids))));
    // It may be probed, and its reports decide.
    CHECK(router.shortlist(now, {}, 3).size() == 3);
    router.recordSignals(makeTarget("t2"), report(Slots - 1, 1), now, now);
    CHECK_FALSE(core::ok(router.assign(now, probed(ids))));
    router.recordSignals(makeTarget("t2"), report(Slots - 1, 0), now, now);
    CHECK(core::ok(router.assign(now, probed(ids))));
}

TEST_CASE("while full targets hang, a host that probes needs a recent report of a free slot, or targets with much room")
{
    auto router = makeExperiencedRouter();
    beSilent(router, {core::TargetId("t2")}, Start + 10s);
    const auto now = Start + 11s;
    const std::vector ids{core::TargetId("t0")};
    routing::AssignOptions unprobed;
    unprobed.probationNeedsReport = true;
    const auto blind = router.assign(now, unprobed);
    REQUIRE(core::ok(blind));
    router.release(core::value(blind), {AttemptOutcome::Cancelled, {}, {}}, now);
    for (int i = 0; i < 100; ++i) {
        router.recordSignals(makeTarget("t1"), report(Slots, 3), now, now);
    }
    CHECK_FALSE(core::ok(router.assign(now + 400ms, unprobed)));
    // The host knows of few requests of others by now.
    for (int i = 0; i < 200; ++i) {
        router.recordSignals(makeTarget("t1"), report(0, 0), now, now);
    }
    router.recordSignals(makeTarget("t0"), report(Slots, 0), now, now);
    CHECK_FALSE(core::ok(router.assign(now, probed(ids))));
    router.recordSignals(makeTarget("t0"), report(1, 0), now, now);
    const auto assigned = router.assign(now, probed(ids));
    REQUIRE(core::ok(assigned));
    CHECK(core::value(assigned).silenceLimit);
    // After 10 s without another silent attempt, the targets count as usual ones.
    CHECK(core::ok(router.assign(Start + 22s, unprobed)));
}

TEST_CASE("a target that stays silent although it reports free slots fails")
{
    auto router = makeExperiencedRouter();
    const std::vector ids{core::TargetId("t2")};
    auto now = Start + 10s;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(router.status(ids[0]).isOutlier);
        beSilent(router, ids, now);
        now += 1s;
        router.recordSignals(makeTarget("t2"), report(0, 0), now, now);
    }
    CHECK(router.status(ids[0]).isOutlier);
}
