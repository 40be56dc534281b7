#include "requests/waitingrequest.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::requests;
using namespace std::chrono_literals;
using core::ErrorCode;

namespace
{

constexpr core::TimePoint Arrival{100s};

/** Has 1 s left, and an objective of 400 ms. */
WaitingRequest makeRequest(core::Duration routeDeadline = 1s)
{
    WaitingRequest request(Arrival);
    request.setDeadline(Arrival + 1s, routeDeadline);
    request.follow(400ms, true);
    return request;
}

std::optional<ErrorCode> endOf(const WaitSituation &situation)
{
    const auto ended = makeRequest().ended(situation);
    return ended ? std::optional(ended->code) : std::nullopt;
}

} // namespace

TEST_CASE("a waiting request aims for its objective until that is out of reach, then for its deadline")
{
    const auto request = makeRequest();
    CHECK_FALSE(request.isLate(100ms, Arrival + 300ms));
    CHECK(request.timeLeft(100ms, Arrival + 300ms) == 100ms);
    CHECK(request.isLate(100ms, Arrival + 301ms));
    CHECK(request.timeLeft(100ms, Arrival + 301ms) == 699ms);
    CHECK(request.timeLeft(100ms, Arrival + 2s) > core::Duration{});
    CHECK(request.queueDeadline(100ms) == Arrival + 400ms);
    // No response is as fast as the objective, so no request is late by it.
    CHECK_FALSE(request.isLate(400ms, Arrival + 900ms));
    CHECK(request.queueDeadline(400ms) == Arrival + 1s);
}

TEST_CASE("a caller that gives less time than the route counts as having waited before")
{
    const auto request = makeRequest(1300ms);
    CHECK(request.waitStart() == Arrival - 300ms);
    CHECK(request.isLate(101ms, Arrival));
}

TEST_CASE("a request waits for local targets for a part of its slack")
{
    const auto request = makeRequest();
    CHECK_FALSE(request.mayUseRemoteDomains(100ms, Arrival + 99ms));
    CHECK(request.mayUseRemoteDomains(100ms, Arrival + 100ms));
    CHECK(request.mayUseRemoteDomains(400ms, Arrival));
    CHECK(request.patienceEnd(Arrival + 400ms) == Arrival + 600ms);
}

TEST_CASE("a wait ends with the caller, the configuration, the deadline, the host and the targets, in this order")
{
    WaitSituation found;
    found.now = Arrival;
    CHECK_FALSE(endOf(found));
    found.pausedUntil = Arrival + 1s;
    CHECK_FALSE(endOf(found));
    found.waitEnd = Arrival + 999ms;
    CHECK(endOf(found) == ErrorCode::NoTarget);
    found.stop = HostStop{Arrival, Arrival + 1s};
    CHECK(endOf(found) == ErrorCode::NoTarget);
    found.stop->end = Arrival + 999ms;
    found.usualProcessingTime = 200ms;
    CHECK(endOf(found) == ErrorCode::Stopping);
    found.now = Arrival + 1s;
    CHECK(endOf(found) == ErrorCode::DeadlinePassed);
    found.hasConfigurationChanged = true;
    CHECK(endOf(found) == ErrorCode::NoSuchService);
    found.hasCallerLeft = true;
    CHECK(endOf(found) == ErrorCode::CallerTooSlow);
}
