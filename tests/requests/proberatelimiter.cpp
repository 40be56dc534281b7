#include "requests/proberatelimiter.h"

#include "core/random.h"

#include <array>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using requests::ProbeRateLimiter;

namespace
{

const core::TimePoint Start{};
const core::TargetId Target("t1");
constexpr double PerSecond = 2;

} // namespace

TEST_CASE("only the owner probes a target, at the configured rate")
{
    ProbeRateLimiter limiter;
    unsigned probes = 0;
    for (auto now = Start; now < Start + 10s; now += 10ms) {
        probes += limiter.tryAcquire(Target, PerSecond, true, now) ? 1 : 0;
        CHECK_FALSE(limiter.tryAcquire(core::TargetId("t2"), PerSecond, false, now));
    }
    CHECK(probes == 19);
}

TEST_CASE("changes of the owner add no probes")
{
    std::array<ProbeRateLimiter, 17> hosts;
    const auto random = core::seededRandom(11);
    std::size_t owner = 0;
    unsigned probes = 0;
    for (auto now = Start; now < Start + 60s; now += 10ms) {
        if (core::randomBelow(random, 40) == 0) {
            owner = core::randomBelow(random, hosts.size());
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            probes += hosts[i].tryAcquire(Target, PerSecond, i == owner, now) ? 1 : 0;
        }
    }
    CHECK(probes > 10);
    CHECK(probes <= 120);
}
