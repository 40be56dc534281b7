#include "processes/platformfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

constexpr auto Window = 4s;

/** Most requests that arrived within Window, among those from @p from on. */
std::size_t mostInWindow(const std::vector<ReceivedRequest> &requests, core::TimePoint from)
{
    std::size_t most = 0;
    for (auto first = requests.begin(); first != requests.end(); ++first) {
        const auto last = std::find_if(first, requests.end(), [first](const ReceivedRequest &request) {
            return request.at > first->at + Window;
        });
        most = first->at < from ? most : std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t countWithStatus(const std::vector<core::Result<http::ClientAnswer>> &answers, unsigned status)
{
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [status](const auto &answer) {
        return core::ok(answer) && core::value(answer).status == status;
    }));
}

http::Reply withHeader(const std::string &name, const std::string &value)
{
    http::Reply reply;
    reply.headers.emplace_back(name, value);
    return reply;
}

/** Number of requests that arrived at least @p earliest and less than @p latest after @p start. */
std::size_t countBetween(const std::vector<ReceivedRequest> &requests,
                         core::TimePoint start,
                         core::Duration earliest,
                         core::Duration latest)
{
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto &request) {
        return request.at >= start + earliest && request.at < start + latest;
    }));
}

http::Reply notExecuted(const std::string &retryAfter)
{
    http::Reply reply;
    reply.status = boost::beast::http::status::service_unavailable;
    reply.headers = {{"X-Not-Executed", "1"}, {"Retry-After", retryAfter}};
    return reply;
}

} // namespace

TEST_CASE("a target whose responses say that it leaves gets no more requests, although it announces that it is ready")
{
    PlatformFleet fleet(74, 2);
    std::atomic<bool> isLeaving{false};
    PlatformTarget leaving("i-leaving", fleet.targetAddress(0), 5ms, [&isLeaving](const ReceivedRequest &) {
        return isLeaving ? withHeader("Server-Leaving", "1") : http::Reply{};
    });
    PlatformTarget staying("i-staying", fleet.targetAddress(1), 5ms, [](const ReceivedRequest &) {
        return http::Reply{};
    });
    REQUIRE(leaving.announce(fleet.controlAddress()) == 200);
    REQUIRE(staying.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.load(30, 1s);
    REQUIRE_FALSE(leaving.requests().empty());
    isLeaving = true;
    const auto start = core::steadyNow();
    const auto answers = fleet.load(30, 5s);
    CHECK(countBetween(leaving.requests(), start, 2s, 10s) == 0);
    CHECK(countWithStatus(answers, 200) == answers.size());
}

TEST_CASE("targets that name a time in their refusals get nothing until then")
{
    PlatformFleet fleet(75, 1);
    std::atomic<bool> isRefusing{false};
    const auto script = [&isRefusing](const ReceivedRequest &request) {
        return isRefusing && !request.isProbe() ? notExecuted("2.5") : http::Reply{};
    };
    PlatformTarget first("i-first", fleet.targetAddress(0), 5ms, script);
    PlatformTarget second("i-second", fleet.targetAddress(1), 5ms, script);
    REQUIRE(first.announce(fleet.controlAddress()) == 200);
    REQUIRE(second.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    fleet.load(30, 1s);
    isRefusing = true;
    const auto refusedAt = core::steadyNow();
    const auto answers = fleet.load(30, 2s);
    isRefusing = false;
    const auto later = fleet.load(30, 2s);
    for (const auto *target : {&first, &second}) {
        CHECK(countBetween(target->requests(), refusedAt, 600ms, 2400ms) == 0);
        CHECK(countBetween(target->probes(), refusedAt, 600ms, 2400ms) == 0);
        CHECK(countBetween(target->requests(), refusedAt, 2500ms, 10s) > 0);
    }
    CHECK(countWithStatus(answers, 503) == answers.size());
    CHECK(countWithStatus(later, 200) > later.size() / 2);
}

TEST_CASE("a request that no target takes before its deadline is refused at once, with the time to come back")
{
    PlatformFleet fleet(76, 1);
    std::atomic<bool> isRefusing{false};
    PlatformTarget target("i-only", fleet.targetAddress(0), 5ms, [&isRefusing](const ReceivedRequest &request) {
        return isRefusing && !request.isProbe() ? notExecuted("10") : http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    isRefusing = true;
    fleet.request(0);
    for (unsigned i = 0; i < 5; ++i) {
        const auto start = core::steadyNow();
        const auto answer = fleet.request(0);
        CHECK(core::steadyNow() - start < 100ms);
        REQUIRE(core::ok(answer));
        CHECK(core::value(answer).status == 503);
        CHECK(std::stod("0" + http::headerOf(core::value(answer), "Retry-After")) > 9);
    }
}

TEST_CASE("all entry hosts together keep the request limit that a target names")
{
    constexpr double Limit = 5;
    PlatformFleet fleet(71, 3);
    PlatformTarget limited("i-limited", fleet.targetAddress(0), 20ms, [](const ReceivedRequest &) {
        return withHeader("Server-Limit", "5");
    });
    REQUIRE(limited.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    const auto start = core::steadyNow();
    const auto answers = fleet.load(40, 6s);
    const double inWindow = static_cast<double>(mostInWindow(limited.requests(), start + 500ms));
    const double allowed = 1.5 * Limit * core::toSeconds(Window) + 5;
    CHECK(inWindow <= allowed);
    CHECK(static_cast<double>(mostInWindow(limited.probes(), start + 500ms)) <= allowed);
    // The limit is no reason to leave the target unused.
    CHECK(inWindow >= 0.5 * Limit * core::toSeconds(Window));
    // The rest is refused, with a time to come back.
    CHECK(countWithStatus(answers, 200) + countWithStatus(answers, 503) == answers.size());
    for (const auto &answer : answers) {
        if (core::ok(answer) && core::value(answer).status == 503) {
            CHECK_FALSE(http::headerOf(core::value(answer), "Retry-After").empty());
        }
    }
}
