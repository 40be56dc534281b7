#include "requests/stoprule.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::requests;
using namespace std::chrono_literals;

namespace
{

constexpr core::TimePoint Now{100s};
constexpr HostStop Stop{Now, Now + 4s};

SendDuringStop makeRequest(bool idempotent, core::Duration usualProcessingTime, core::TimePoint deadline)
{
    return {idempotent, Now, Now, deadline, usualProcessingTime};
}

} // namespace

TEST_CASE("a stopping host sends a request that may run once only if its deadline passes before the host ends")
{
    CHECK(canEndBefore(Stop, makeRequest(false, 1ms, Stop.end)));
    CHECK_FALSE(canEndBefore(Stop, makeRequest(false, 1ms, Stop.end + 1ms)));
}

TEST_CASE("a stopping host sends an early idempotent request if its service's usual time leaves room for a slow target")
{
    CHECK(canEndBefore(Stop, makeRequest(true, 500ms, Stop.end + 10s)));
    CHECK_FALSE(canEndBefore(Stop, makeRequest(true, 501ms, Stop.end + 10s)));
    CHECK(canEndBefore(Stop, makeRequest(true, 501ms, Stop.end)));
    // Without an estimate the request may take all of its time.
    CHECK_FALSE(canEndBefore(Stop, makeRequest(true, {}, Stop.end + 1ms)));
}

// Guards against look-ups that are cut at the end of a stop because they take far longer than their service usually
// does.
TEST_CASE("a stopping host sends an idempotent request that arrives later only if its deadline passes before the end")
{
    auto request = makeRequest(true, 1ms, Stop.end + 1ms);
    request.arrival = Stop.estimateEnd + 1ms;
    request.now = request.arrival;
    CHECK_FALSE(canEndBefore(Stop, request));
    request.deadline = Stop.end;
    CHECK(canEndBefore(Stop, request));
}
