#include "requests/responsetimes.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

constexpr core::TimePoint Start{100s};

/** Records a response every 10 ms for @p length from @p begin: 1 ms to 100 ms in turn, times @p factor. */
core::TimePoint play(requests::ResponseTimes &times, core::TimePoint begin, core::Duration length, int factor = 1)
{
    constexpr int Values = 100;
    auto now = begin;
    for (int i = 0; now < begin + length; ++i, now += 10ms) {
        // 37 has no common divisor with 100, so that each value comes once in 100 and no order shows.
        times.record(factor * (1 + i * 37 % Values) * 1ms, now);
    }
    return now;
}

} // namespace

TEST_CASE("the usual maximum is the time within which nearly all responses come")
{
    requests::ResponseTimes times;
    const auto now = play(times, Start, 5s);
    const auto usual = times.usualMaximum(now);
    REQUIRE(usual);
    CHECK(*usual > 90ms);
    CHECK(*usual < 99ms);
}

TEST_CASE("the usual maximum follows the load, and is forgotten without responses")
{
    requests::ResponseTimes times;
    auto now = play(times, Start, 5s);
    now = play(times, now, 5s, 10);
    CHECK(times.usualMaximum(now) > 900ms);
    now = play(times, now, 5s);
    CHECK(times.usualMaximum(now) < 99ms);
    CHECK_FALSE(times.usualMaximum(now + 31s));
}

TEST_CASE("there is no usual maximum of a few responses")
{
    requests::ResponseTimes times;
    CHECK_FALSE(times.usualMaximum(Start));
    for (int i = 0; i < 59; ++i) {
        times.record(1ms, Start + i * 100ms);
    }
    CHECK_FALSE(times.usualMaximum(Start + 6s));
    times.record(1ms, Start + 6s);
    CHECK(times.usualMaximum(Start + 6s) == 1ms);
}
