#include "entry/followbackoff.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using entry::FollowBackoff;
using entry::FollowFailure;

namespace
{

constexpr std::size_t ControlHosts = 3;

void fail(FollowBackoff &backoff, FollowFailure failure, unsigned times)
{
    for (unsigned i = 0; i < times; ++i) {
        backoff.recordFailure(failure, ControlHosts);
    }
}

} // namespace

TEST_CASE("the time-out of follow calls doubles with each round of time-outs, up to eight times")
{
    FollowBackoff backoff;
    backoff.recordResponse();
    const auto first = backoff.timeout();
    fail(backoff, FollowFailure::TimedOut, ControlHosts - 1);
    CHECK(backoff.timeout() == first);
    fail(backoff, FollowFailure::TimedOut, 1);
    CHECK(backoff.timeout() == first * 2);
    fail(backoff, FollowFailure::TimedOut, 10 * ControlHosts);
    CHECK(backoff.timeout() == first * 8);
    backoff.recordResponse();
    CHECK(backoff.timeout() == first);
}

// Guards against a host that misses changes for seconds: it waited out a long time-out at a control host that is down.
TEST_CASE("control hosts that refuse calls or lack a quorum do not lengthen the time-out of the next call")
{
    FollowBackoff backoff;
    backoff.recordResponse();
    const auto first = backoff.timeout();
    const auto failure = GENERATE(FollowFailure::Refused, FollowFailure::Unconfirmed);
    fail(backoff, failure, 10 * ControlHosts);
    CHECK(backoff.timeout() == first);
    fail(backoff, FollowFailure::TimedOut, ControlHosts - 1);
    fail(backoff, failure, 1);
    fail(backoff, FollowFailure::TimedOut, ControlHosts - 1);
    CHECK(backoff.timeout() == first);
}

TEST_CASE("the pause after a failure grows while no quorum confirms a control host, and before the first response")
{
    FollowBackoff backoff;
    const auto startPause = backoff.pauseAfter(FollowFailure::Refused);
    fail(backoff, FollowFailure::Refused, ControlHosts);
    CHECK(backoff.pauseAfter(FollowFailure::Refused) == startPause * 2);
    backoff.recordResponse();
    const auto pause = backoff.pauseAfter(FollowFailure::Refused);
    CHECK(pause > startPause);
    fail(backoff, FollowFailure::Unconfirmed, ControlHosts);
    CHECK(backoff.pauseAfter(FollowFailure::Refused) == pause);
    CHECK(backoff.pauseAfter(FollowFailure::Unconfirmed) == pause * 2);
}
