#include "soak/soak.h"
#include "soak/plan.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::soak;
using namespace std::chrono_literals;

namespace
{

const core::TimePoint Start{1000s};
const std::string Path = "/loans/1-1";

CallerRequest makeRequest(Outcome outcome, core::TimePoint from = Start)
{
    return {Path, false, "e1", {from, from + 20ms}, outcome, ""};
}

Run makeRun(core::TimePoint start = Start + 5ms)
{
    return {Path, "t1#1", "ravne", start, start + 8ms};
}

/** Whether @p promise is the only one that the checker finds broken in @p records. */
bool findsOnly(const Records &records, Promise promise)
{
    const auto broken = findBrokenPromises(records);
    return broken.size() == 1 && broken.front().promise == promise;
}

} // namespace

TEST_CASE("soak: records of answered requests break no promise")
{
    Records records;
    records.requests = {makeRequest(Outcome::Answered)};
    records.runs = {makeRun()};
    records.changes = {{5, Start}};
    records.reads = {{"e1", 1, 4, true, Start + 1s}, {"e1", 1, 5, true, Start + 10s}, {"e1", 2, 4, false, Start + 20s}};
    CHECK(findBrokenPromises(records).empty());
}

TEST_CASE("soak: the checker finds each broken promise")
{
    Records records;
    SECTION("a response that is another request's")
    {
        records.requests = {makeRequest(Outcome::Wrong)};
        CHECK(findsOnly(records, Promise::WholeAnswer));
    }
    SECTION("a loan that ran twice")
    {
        records.requests = {makeRequest(Outcome::Answered)};
        records.runs = {makeRun(), makeRun(Start + 50ms)};
        CHECK(findsOnly(records, Promise::AtMostOnce));
    }
    SECTION("a request that was refused as not run and runs later")
    {
        records.requests = {makeRequest(Outcome::RefusedAsNotRun)};
        records.runs = {makeRun(Start + 2s)};
        records.disturbances = {{Start, Start + 5s}};
        CHECK(findsOnly(records, Promise::NotRunIsTrue));
    }
    SECTION("a request behind a response that closes the connection, which runs")
    {
        records.requests = {makeRequest(Outcome::BehindClose)};
        records.runs = {makeRun()};
        records.disturbances = {{Start, Start + 5s}};
        CHECK(findsOnly(records, Promise::NotRunIsTrue));
    }
    SECTION("an answer that was ready and did not reach its caller")
    {
        records.requests = {makeRequest(Outcome::Failed)};
        records.runs = {makeRun()};
        CHECK(findsOnly(records, Promise::ReadyAnswerDelivered));
    }
    SECTION("a new connection that is cut without a fault")
    {
        records.requests = {makeRequest(Outcome::Cut)};
        CHECK(findsOnly(records, Promise::StopCutsNothing));
    }
    SECTION("a stop that ends with an error")
    {
        records.stops = {{"e1", 4, Start}};
        CHECK(findsOnly(records, Promise::StopCutsNothing));
    }
    SECTION("a request to a target that left")
    {
        records.requests = {makeRequest(Outcome::Answered, Start + 3s)};
        records.runs = {makeRun(Start + 3s)};
        records.departures = {{"t1#1", Start}};
        CHECK(findsOnly(records, Promise::NothingAfterLeaving));
        records.departures = {{"t1#2", Start}};
        CHECK(findBrokenPromises(records).empty());
    }
    SECTION("a request to a domain that is out of service")
    {
        records.requests = {makeRequest(Outcome::Answered, Start + 6s)};
        records.runs = {makeRun(Start + 6s)};
        records.outages = {{"ravne", {Start, Start + 10s}}};
        CHECK(findsOnly(records, Promise::NothingInDomainOut));
        records.outages = {{"mezica", {Start, Start + 10s}}};
        CHECK(findBrokenPromises(records).empty());
    }
    SECTION("a revision that goes back in one process")
    {
        records.reads = {{"c1", 1, 5, false, Start}, {"c1", 1, 4, false, Start + 1s}};
        CHECK(findsOnly(records, Promise::ConfigurationNeverOlder));
    }
    SECTION("a host that is current without an acknowledged change")
    {
        records.changes = {{5, Start}};
        records.reads = {{"e1", 1, 4, true, Start + 5s}};
        CHECK(findsOnly(records, Promise::ConfigurationInForce));
    }
}

TEST_CASE("soak: a request near a fault may be cut, but runs once and refusals stay true")
{
    Records records;
    records.requests = {makeRequest(Outcome::Cut)};
    records.runs = {makeRun()};
    records.disturbances = {{Start - 2s, Start - 500ms}};
    CHECK(findBrokenPromises(records).empty());
}

TEST_CASE("soak: the plan depends on the seed only, and leaves time to recover")
{
    const auto size = fleetSize(24);
    const auto plan = makePlan(7, 120s, size);
    CHECK(describe(plan) == describe(makePlan(7, 120s, size)));
    CHECK(describe(plan) != describe(makePlan(8, 120s, size)));
    REQUIRE_FALSE(plan.empty());
    for (const auto &event : plan) {
        CHECK(event.at + event.length <= 112s);
    }
}

TEST_CASE("soak: stops of entry hosts in series overlap and leave most hosts in service")
{
    const auto size = fleetSize(60);
    const auto plan = makePlan(7, 600s, size);
    unsigned overlapping = 0;
    for (const auto &event : plan) {
        if (event.kind == EventKind::ReloadAndStopEntry) {
            overlapping += static_cast<unsigned>(std::count_if(plan.begin(), plan.end(), [&event](const Event &other) {
                return other.kind == event.kind && other.subject != event.subject && other.at >= event.at
                       && other.at < event.at + 2s;
            }));
        }
    }
    CHECK(overlapping > 5);
}

TEST_CASE("soak: no promise is broken in a short run with a fixed seed")
{
    SoakSettings settings;
    settings.seed = 3;
    settings.length = 25s;
    settings.processes = 16;
    const auto result = runSoak(settings);
    CHECK(result.broken.empty());
    CHECK(result.answered > 500);
    CHECK(result.changes > 3);
}
