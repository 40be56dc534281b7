#include "routing/processingtimeestimate.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

double inMillis(const routing::ProcessingTimeEstimate &estimate)
{
    return estimate.nanoseconds() / 1e6;
}

} // namespace

TEST_CASE("an assumed processing time is replaced by samples once requests have ended")
{
    routing::ProcessingTimeEstimate estimate;
    CHECK_FALSE(estimate.known());
    estimate.assume(240ms);
    CHECK(estimate.known());
    CHECK(inMillis(estimate) == Approx(240));
    for (int i = 0; i < 10; ++i) {
        estimate.addSample(60ms, 1);
    }
    CHECK(inMillis(estimate) < 100);
    // A later assumption, for a changed objective, doesn't replace the samples.
    estimate.assume(1s);
    CHECK(inMillis(estimate) < 100);
}

TEST_CASE("the first samples have equal weight, so that an unusual one doesn't dominate")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.addSample(1s, 1);
    for (int i = 0; i < 9; ++i) {
        estimate.addSample(100ms, 1);
    }
    CHECK(inMillis(estimate) == Approx(190));
}

TEST_CASE("a sample from a slow target is scaled to a target of usual speed")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.addSample(500ms, 5);
    CHECK(inMillis(estimate) == Approx(100));
}
