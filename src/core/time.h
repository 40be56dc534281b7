/**
 * @file
 * Monotonic time. Decisions get the current time passed in; times of different hosts are never compared.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace pimentoshed::core
{

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/** Returns the current time. */
using ClockHook = std::function<TimePoint()>;

/** Tag of the clock that also counts the time for which the machine is suspended; steady_clock doesn't. */
struct BootClock {
};
using BootTime = std::chrono::time_point<BootClock, Duration>;

/** Returns the current time of this machine's monotonic clock. */
inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

/** Returns the time since this machine's start, suspended time included. */
BootTime bootNow();

/** Converts @p duration to seconds, for logs and metrics. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Converts @p duration, which is not negative, to whole milliseconds, for messages. */
inline std::uint64_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace pimentoshed::core
