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

TEST_CASE("the estimate forgets an unusual first sample")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.addSample(1s, 1);
    for (int i = 0; i < 9; ++i) {
        estimate.addSample(100ms, 1);
    }
    CHECK(inMillis(estimate) == Approx(100));
}

TEST_CASE("a sample from a slow target is scaled to a target of usual speed")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.addSample(500ms, 5);
    CHECK(inMillis(estimate) == Approx(100));
}

TEST_CASE("a third of much longer samples doesn't raise the estimate")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.assume(80ms);
    for (int i = 0; i < 300; ++i) {
        estimate.addSample(i % 3 == 0 ? 400ms : 60ms, 1);
    }
    CHECK(inMillis(estimate) < 70);
}

TEST_CASE("the estimate follows a service that becomes slower for good")
{
    routing::ProcessingTimeEstimate estimate;
    estimate.assume(80ms);
    for (int i = 0; i < 100; ++i) {
        estimate.addSample(60ms, 1);
    }
    for (int i = 0; i < 40; ++i) {
        estimate.addSample(180ms, 1);
    }
    CHECK(inMillis(estimate) == Approx(180));
}
