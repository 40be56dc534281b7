#include "routing/processingtimeestimate.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

double inMillis(const routing::ProcessingTimeEstimate &estimate)
{
    return estimate.usual() / 1e6;
}

} // namespace

TEST_CASE("an assumption counts until requests have ended, and gives way to them")
{
    routing::ProcessingTimeEstimate estimate;
    CHECK_FALSE(estimate.known());
    estimate.assume(240ms);
    CHECK(estimate.known());
    CHECK(inMillis(estimate) == Approx(240));
    for (int i = 0; i < 10; ++i) {
        estimate.add(60ms, 1);
    }
    CHECK(inMillis(estimate) < 100);
    // What requests showed is not forgotten for a changed objective.
    estimate.assume(1s);
    CHECK(inMillis(estimate) < 100);
}

TEST_CASE("the first requests weigh alike, so that an unusual one doesn't last")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.add(1s, 1);
    for (int i = 0; i < 9; ++i) {
        estimate.add(100ms, 1);
    }
    CHECK(inMillis(estimate) == Approx(190));
}

TEST_CASE("work at a slow target counts as what it takes at a usual one")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.add(500ms, 5);
    CHECK(inMillis(estimate) == Approx(100));
}
