#include "routing/servicerouter.h"

#include "fixture.h"

#include <catch2/catch.hpp>
#include <map>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;
using namespace std::chrono_literals;
using routing::AttemptOutcome;
using targets::Condition;

namespace
{

const core::TargetId Bad("t0");

/** Assigns and ends @p count requests in sequence, those at Bad with @p badEnd. Returns how many went to Bad. */
unsigned serve(routing::ServiceRouter &router, unsigned count, core::TimePoint &now, const routing::AttemptEnd &badEnd)
{
    unsigned atBad = 0;
    for (unsigned i = 0; i < count; ++i) {
        const auto assigned = router.assign(now);
        REQUIRE(core::ok(assigned));
        const auto &assignment = core::value(assigned);
        now += 1ms;
        const bool isBad = assignment.target->id == Bad;
        atBad += isBad ? 1 : 0;
        router.release(assignment, isBad ? badEnd : routing::AttemptEnd{AttemptOutcome::Answered, 5ms, {}}, now);
    }
    return atBad;
}

const routing::AttemptEnd Good{AttemptOutcome::Answered, 5ms, {}};

} // namespace

TEST_CASE("requests in flight are counted exactly and never exceed the slots")
{
    auto router = makeRouter(2);
    std::vector<routing::Assignment> assignments;
    for (unsigned i = 0; i < 6; ++i) {
        assignments.push_back(core::value(router.assign(Start)));
    }
    CHECK(core::error(router.assign(Start)).code == core::ErrorCode::NoTarget);
    CHECK(router.status(Bad).inFlight == 3);
    router.release(assignments[0], Good, Start);
    router.release(assignments[0], Good, Start);
    CHECK(router.inFlight() == 5);
}

TEST_CASE("leaving targets and domains out of service get no more requests")
{
    auto router = makeRouter(1);
    router.update(makeTarget("t1", "mezica"));
    router.update(makeTarget("t0", "ravne", Condition::Leaving, 1));
    CHECK(core::value(router.assign(Start)).target->id == core::TargetId("t1"));
    const std::vector out{core::FailureDomain("mezica")};
    router.setDomainsOutOfService(out);
    CHECK_FALSE(core::ok(router.assign(Start)));
    router.setDomainsOutOfService({});
    CHECK(core::ok(router.assign(Start)));
    router.update(makeTarget("t0", "ravne", Condition::Warm, 0));
    CHECK(core::value(router.assign(Start)).target->id == core::TargetId("t1"));
}

TEST_CASE("a target is ejected while a late request is still outstanding, and then gets one probation request")
{
    auto router = makeRouter(4);
    core::TimePoint now = Start;
    serve(router, 200, now, Good);
    // Assign until Bad has a request outstanding, then end the requests of all other targets.
    std::vector<routing::Assignment> assignments;
    while (router.status(Bad).inFlight == 0) {
        assignments.push_back(core::value(router.assign(now)));
    }
    now += 5ms;
    for (const auto &each : assignments) {
        if (each.target->id != Bad) {
            router.release(each, Good, now);
        }
    }
    now += 50ms;
    router.assign(now);
    CHECK(router.status(Bad).isEjected);
    unsigned probations = 0;
    for (unsigned i = 0; i < 100; ++i) {
        now += 1ms;
        const auto assignment = core::value(router.assign(now));
        if (assignment.target->id == Bad) {
            ++probations;
        } else {
            router.release(assignment, Good, now);
        }
    }
    CHECK(probations == 1);
    serve(router, 1, now, Good);
    CHECK(router.status(Bad).isEjected);
}

TEST_CASE("a full target that completes no request becomes an outlier before any request is late")
{
    auto router = makeRouter(4, routing::PickerKind::LeastExpectedTime, 6);
    core::TimePoint now = Start;
    for (unsigned i = 0; i < 400; ++i) {
        const auto assignment = core::value(router.assign(now));
        router.release(assignment, {AttemptOutcome::Answered, i % 2 == 0 ? 1ms : 9ms, {}}, now += 1ms);
    }
    while (router.inFlight() < 23) {
        router.assign(now);
    }
    now += 8ms;
    CHECK(router.latency().lateThreshold() > 8ms);
    router.assign(now);
    unsigned outliers = 0;
    for (const auto *id : {"t0", "t1", "t2", "t3"}) {
        outliers += router.status(core::TargetId(id)).isOutlier ? 1 : 0;
    }
    CHECK(outliers >= 3);
}

TEST_CASE("a successful probation request ends the ejection of a target")
{
    auto router = makeRouter(4);
    core::TimePoint now = Start;
    serve(router, 200, now, Good);
    serve(router, 30, now, {AttemptOutcome::Answered, 500ms, {}});
    CHECK(router.status(Bad).isEjected);
    CHECK(serve(router, 400, now, Good) > 50);
    CHECK_FALSE(router.status(Bad).isOutlier);
}

TEST_CASE("a target that fails fast gets less than its share under every picker")
{
    for (const auto &row : routing::PickerNames) {
        auto router = makeRouter(4, row.value);
        core::TimePoint now = Start;
        CHECK(serve(router, 1000, now, {AttemptOutcome::Failed, 10us, {}}) < 20);
    }
}

TEST_CASE("with load probes, an ejected target gets a probation request only if it reports that it is fast")
{
    auto router = makeRouter(4);
    core::TimePoint now = Start;
    serve(router, 200, now, Good);
    serve(router, 100, now, {AttemptOutcome::Failed, 5ms, {}});
    REQUIRE(router.status(Bad).isEjected);
    now += 3s;
    const auto bad = std::make_shared<const targets::Target>(makeTarget("t0"));
    routing::AssignOptions options;
    options.objective = 20ms;
    options.probationNeedsReport = true;
    // The target is offered to be probed, in addition to a regular one.
    const auto offered = router.shortlist(now, options, 1);
    REQUIRE(offered.size() == 2);
    CHECK(offered.front()->id == Bad);
    const std::vector probed{offered[0]->id, offered[1]->id};
    options.allowedTargets = probed;
    const auto assignWithReport = [&](double slowness) {
        routing::TargetSignals signals;
        signals.load = routing::LoadReport{};
        signals.load->slots = 3;
        signals.load->slowness = slowness;
        router.recordSignals(*bad, signals, now, now);
        const auto assigned = router.assign(now, options);
        REQUIRE(core::ok(assigned));
        return core::value(assigned).target->id;
    };
    CHECK(assignWithReport(50) != Bad);
    CHECK(assignWithReport(1) == Bad);
    // Without a report no request is risked.
    options.allowedTargets = {};
    now += 5s;
    for (int i = 0; i < 4; ++i) {
        const auto assigned = router.assign(now, options);
        REQUIRE(core::ok(assigned));
        CHECK(core::value(assigned).target->id != Bad);
    }
}

TEST_CASE("at most half of the targets are ejected, and the others stay in use")
{
    auto router = makeRouter(4);
    core::TimePoint now = Start;
    for (unsigned i = 0; i < 200; ++i) {
        const auto assigned = router.assign(now);
        REQUIRE(core::ok(assigned));
        router.release(core::value(assigned), {AttemptOutcome::Failed, 1ms, {}}, now += 1ms);
    }
    unsigned ejected = 0;
    for (const auto *id : {"t0", "t1", "t2", "t3"}) {
        ejected += router.status(core::TargetId(id)).isEjected ? 1 : 0;
    }
    CHECK(ejected == 2);
}

TEST_CASE("the local domain is preferred until it is slower")
{
    auto router = makeRouter(1, routing::PickerKind::LeastExpectedTime, 6);
    router.update(makeTarget("far", "mezica"));
    core::TimePoint now = Start;
    const auto run = [&](core::Duration localLatency) {
        std::map<std::string, unsigned> counts;
        for (unsigned i = 0; i < 400; ++i) {
            const auto assignment = core::value(router.assign(now));
            const bool isRemote = assignment.target->id == core::TargetId("far");
            ++counts[assignment.target->id.str()];
            router.release(assignment, {AttemptOutcome::Answered, isRemote ? 6ms : localLatency, {}}, now += 1ms);
        }
        return counts;
    };
    CHECK(run(5ms)["t0"] > 380);
    CHECK(run(8ms)["far"] > 300);
}

TEST_CASE("a restarted target is no outlier, and results of its earlier incarnation are ignored")
{
    auto router = makeRouter(2);
    core::TimePoint now = Start;
    std::vector<routing::Assignment> old;
    for (unsigned i = 0; i < 6; ++i) {
        old.push_back(core::value(router.assign(now)));
    }
    auto restarted = makeTarget("t0");
    restarted.version = {2, 0};
    router.update(restarted);
    CHECK(router.status(Bad).inFlight == 3);
    for (const auto &each : old) {
        router.release(each, {AttemptOutcome::Failed, 1ms, {}}, now);
    }
    CHECK_FALSE(router.status(Bad).isOutlier);
    CHECK(router.status(core::TargetId("t1")).isOutlier);
}

TEST_CASE("a cold target gets requests up to the cold slots, and only while this host may send to it")
{
    bool canSend = false;
    const auto canSendToCold = [&canSend](const auto &, const auto &, core::TimePoint) {
        return canSend;
    };
    auto service = makeService();
    service.coldSlots = 2;
    routing::ServiceRouter router(
        service,
        core::FailureDomain("ravne"),
        {routing::makePicker(routing::PickerKind::LeastExpectedTime), core::seededRandom(3), true, canSendToCold, {}});
    router.update(makeTarget("t0", "ravne", targets::Condition::Cold));
    CHECK_FALSE(core::ok(router.assign(Start)));
    canSend = true;
    CHECK(core::ok(router.assign(Start)));
    CHECK(core::ok(router.assign(Start)));
    CHECK_FALSE(core::ok(router.assign(Start)));
}

TEST_CASE("a warm target whose probation requests keep failing counts as cold")
{
    bool canSend = false;
    const auto canSendToCold = [&canSend](const auto &, const auto &, core::TimePoint) {
        return canSend;
    };
    auto service = makeService();
    service.warmUp = 10s;
    routing::ServiceRouter router(
        service,
        core::FailureDomain("ravne"),
        {routing::makePicker(routing::PickerKind::LeastExpectedTime), core::seededRandom(3), true, canSendToCold, {}});
    router.update(makeTarget("t0"));
    router.update(makeTarget("t1"));
    core::TimePoint now = Start;
    const auto serve = [&](core::Duration span) {
        unsigned badCount = 0;
        for (const auto end = now + span; now < end; now += 1ms) {
            const auto assignment = core::value(router.assign(now));
            const bool isBad = assignment.target->id == core::TargetId("t0");
            badCount += isBad ? 1 : 0;
            const auto outcome = isBad ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Answered;
            router.release(assignment, {outcome, 5ms, {}}, now);
        }
        return badCount;
    };
    CHECK(serve(2s) <= 6);
    CHECK(router.status(core::TargetId("t0")).isAssumedCold);
    CHECK(serve(5s) == 0);
    canSend = true;
    CHECK(serve(5s) > 0);
}

TEST_CASE("a request limit holds until a response to a later request names another or none")
{
    using routing::LimitStatement;
    auto router = makeRouter(1);
    const core::TargetId id("t0");
    const auto record = [&](LimitStatement statement, double limit, core::Duration sent, core::Duration received) {
        router.recordSignals(makeTarget("t0"), {{}, statement, limit}, Start + sent, Start + received);
        return router.status(id).requestLimit;
    };
    CHECK(record(LimitStatement::None, 0, 0ms, 1ms) == std::nullopt);
    CHECK(record(LimitStatement::Unreadable, 0, 0ms, 1ms) == std::nullopt);
    CHECK(record(LimitStatement::Named, 5, 1ms, 10ms) == 5.0);
    CHECK(record(LimitStatement::Unreadable, 0, 11ms, 12ms) == 5.0);
    // The response to a request that was sent before the limit was named.
    CHECK(record(LimitStatement::None, 0, 5ms, 13ms) == 5.0);
    CHECK(record(LimitStatement::Named, 2.5, 14ms, 15ms) == 2.5);
    CHECK(record(LimitStatement::None, 0, 15ms, 16ms) == std::nullopt);
    CHECK(record(LimitStatement::Named, 0, 17ms, 18ms) == 0.0);
    auto restarted = makeTarget("t0");
    restarted.version.incarnation = 2;
    router.update(restarted);
    CHECK(router.status(id).requestLimit == std::nullopt);
}

TEST_CASE("requests to a target that names a limit keep this host's pace, with one load probe for each")
{
    using routing::LimitStatement;
    routing::RouterHooks hooks;
    hooks.picker = routing::makePicker(routing::PickerKind::LeastExpectedTime);
    hooks.random = core::seededRandom(7);
    hooks.requestPace = [](const targets::Target &, double limit) {
        const auto interval = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(2 / limit));
        return membership::RequestPace{interval, 2};
    };
    routing::ServiceRouter router(makeService(), core::FailureDomain("ravne"), hooks);
    router.update(makeTarget("t0"));
    const core::TargetId id("t0");
    const std::vector<core::TargetId> probed{id};
    router.recordSignals(makeTarget("t0"), {{}, LimitStatement::Named, 4}, Start + 1s, Start + 1s);
    unsigned sent = 0;
    unsigned probes = 0;
    for (auto now = Start + 2s; now < Start + 4s; now += 1ms) {
        if (!router.shortlist(now, {}, 1).empty()) {
            ++probes;
            router.recordSignals(makeTarget("t0"), {{}, LimitStatement::Named, 4}, now, now);
        }
        routing::AssignOptions options;
        options.allowedTargets = probed;
        const auto assignment = router.assign(now, options);
        if (core::ok(assignment)) {
            ++sent;
            router.release(core::value(assignment), {AttemptOutcome::Answered, 1ms, {}}, now);
        }
    }
    // One per 500 ms, and one more that has been saved up.
    CHECK(sent == 5);
    CHECK(probes == 4);
    // A response that names the same limit again allows nothing more.
    unsigned more = 0;
    for (auto now = Start + 10s; now < Start + 10400ms; now += 1ms) {
        const auto assignment = router.assign(now);
        if (core::ok(assignment)) {
            ++more;
            router.release(core::value(assignment),
                           {AttemptOutcome::Answered, 1ms, routing::TargetSignals{{}, LimitStatement::Named, 4}},
                           now);
        }
    }
    CHECK(more == 2);
    router.recordSignals(makeTarget("t0"), {}, Start + 11s, Start + 11s);
    CHECK(core::ok(router.assign(Start + 11s)));
    CHECK(core::ok(router.assign(Start + 11s)));
}

TEST_CASE("a target that says in a response that it leaves gets no more requests until it has restarted")
{
    auto router = makeRouter(1);
    routing::TargetSignals leaving;
    leaving.isLeaving = true;
    auto restarted = makeTarget("t0");
    restarted.version.incarnation = 2;
    const bool isProbe = GENERATE(true, false);
    const auto assignment = router.assign(Start);
    REQUIRE(core::ok(assignment));
    if (isProbe) {
        router.recordSignals(makeTarget("t0"), leaving, Start, Start);
    }
    router.release(
        core::value(assignment), {AttemptOutcome::Answered, 1ms, isProbe ? routing::TargetSignals{} : leaving}, Start);
    CHECK_FALSE(core::ok(router.assign(Start)));
    router.update(makeTarget("t0", "ravne", Condition::Warm, 1));
    CHECK_FALSE(core::ok(router.assign(Start)));
    router.update(restarted);
    CHECK(core::ok(router.assign(Start)));
    // A late response of the earlier incarnation.
    router.recordSignals(makeTarget("t0"), leaving, Start, Start);
    CHECK(core::ok(router.assign(Start)));
}

TEST_CASE("a target that asks for a pause gets nothing until then, unless it restarts")
{
    auto router = makeRouter(2);
    CHECK_FALSE(router.pausedUntil(Start));
    const auto pause = [&router](const std::string &id, core::Duration length, core::TimePoint now) {
        routing::TargetSignals signals;
        signals.pause = length;
        router.recordSignals(makeTarget(id), signals, now, now);
    };
    pause("t0", 1s, Start);
    CHECK_FALSE(router.pausedUntil(Start));
    pause("t1", 2s, Start);
    // A shorter pause does not replace the longer one.
    pause("t1", 100ms, Start + 10ms);
    CHECK(router.pausedUntil(Start + 10ms) == Start + 1s);
    CHECK_FALSE(core::ok(router.assign(Start + 999ms)));
    CHECK(router.shortlist(Start + 999ms, {}, 2).empty());
    CHECK(router.shortlist(Start + 1s, {}, 2).size() == 1);
    CHECK(router.shortlist(Start + 2s, {}, 2).size() == 2);
    pause("t0", 10s, Start + 2s);
    auto restarted = makeTarget("t0");
    restarted.version.incarnation = 2;
    router.update(restarted);
    CHECK(router.shortlist(Start + 2s, {}, 2).size() == 2);
}

TEST_CASE("a request that may only use what is to spare goes to an idle warm target without a limit, or nowhere")
{
    auto router = makeRouter(1, routing::PickerKind::LeastExpectedTime, 4);
    routing::AssignOptions spare;
    spare.spareOnly = true;
    const auto assignable = [&router, &spare]() {
        return core::ok(router.assign(Start, spare));
    };
    SECTION("idle")
    {
        CHECK(assignable());
        CHECK(router.usedShare(Start) == 0.25);
    }
    SECTION("half used")
    {
        CHECK(assignable());
        CHECK(assignable());
        CHECK_FALSE(assignable());
        CHECK(core::ok(router.assign(Start)));
    }
    SECTION("cold")
    {
        router.update(makeTarget("t0", "ravne", targets::Condition::Cold, 1));
        CHECK_FALSE(assignable());
        CHECK(core::ok(router.assign(Start)));
    }
    SECTION("an outlier")
    {
        const auto failed = core::value(router.assign(Start));
        router.release(failed, {AttemptOutcome::Failed, std::chrono::milliseconds(5), {}}, Start);
        CHECK_FALSE(assignable());
        CHECK_FALSE(core::ok(router.assign(Start + std::chrono::seconds(10), spare)));
    }
    SECTION("with a limit of requests")
    {
        routing::TargetSignals signals;
        signals.limitStatement = routing::LimitStatement::Named;
        signals.requestLimit = 1000;
        router.recordSignals(makeTarget("t0"), signals, Start, Start);
        CHECK_FALSE(assignable());
    }
}
