#include "core/stallmonitor.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

TEST_CASE("a stall ends when the process runs on, at a beat or at a question")
{
    core::BootTime now{100s};
    core::StallMonitor monitor(500ms, [&now]() {
        return now;
    });
    monitor.beat();
    const auto start = now;
    CHECK_FALSE(monitor.hasStalledSince(start));
    now += 501ms;
    const bool beatsFirst = GENERATE(false, true);
    if (beatsFirst) {
        monitor.beat();
    }
    CHECK(monitor.hasStalledSince(start));
    CHECK(monitor.hasStalledSince(now));
    now += 1ms;
    CHECK_FALSE(monitor.hasStalledSince(now));
    now += 499ms;
    monitor.beat();
    CHECK_FALSE(monitor.hasStalledSince(now));
}

TEST_CASE("a slow start is no stall")
{
    core::BootTime now{100s};
    core::StallMonitor monitor(500ms, [&now]() {
        return now;
    });
    now += 5s;
    CHECK_FALSE(monitor.hasStalledSince(core::BootTime()));
    monitor.beat();
    CHECK_FALSE(monitor.hasStalledSince(core::BootTime()));
}

TEST_CASE("bootNow advances")
{
    const auto before = core::bootNow();
    CHECK(core::bootNow() >= before);
    CHECK(before > core::BootTime());
}
