#include "targets/coldramp.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using targets::ColdRamp;
using targets::ColdRampOptions;

namespace
{

const core::TimePoint Start{};

void finishSuccessfully(ColdRamp &ramp, unsigned count, core::TimePoint now)
{
    for (unsigned i = 0; i < count; ++i) {
        ramp.finish(true, now);
    }
}

} // namespace

TEST_CASE("ColdRamp treats a new owner's target as full until the deadline of earlier requests or its report")
{
    ColdRamp ramp({2, 6, 10s, 1s, true}, Start);
    CHECK(ramp.limit(Start) == 0);
    ramp.setForeignRequests(1);
    CHECK(ramp.limit(Start) == 1);
    ramp.setForeignRequests(5);
    CHECK(ramp.limit(Start) == 1);
    CHECK(ramp.limit(Start + 1s) == 2);
}

TEST_CASE("ColdRamp does not raise the limit of a target that announces when it is warm")
{
    ColdRamp ramp({2, 6, 10s, 1s, true}, Start);
    finishSuccessfully(ramp, 1000, Start + 60s);
    CHECK(ramp.limit(Start + 60s) == 2);
}

TEST_CASE("ColdRamp raises the limit with time and successful requests, and resets it after a failed one")
{
    ColdRamp ramp({1, 6, 10s, 1s, false}, Start);
    finishSuccessfully(ramp, 100, Start + 5s);
    CHECK(ramp.limit(Start + 5s) == 1);
    finishSuccessfully(ramp, 1, Start + 10s);
    CHECK(ramp.limit(Start + 10s) == 2);
    finishSuccessfully(ramp, 8 + 16, Start + 11s);
    CHECK(ramp.limit(Start + 11s) == 6);
    ramp.finish(false, Start + 12s);
    CHECK(ramp.limit(Start + 12s) == 1);
    finishSuccessfully(ramp, 100, Start + 21s);
    CHECK(ramp.limit(Start + 21s) == 1);
}
