/**
 * @file
 * The time that decisions work with: handed in from outside, monotonic, never compared between hosts.
 */
#pragma once

#include <chrono>
#include <functional>

namespace pimentoshed::core
{

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/** Where a host gets the present moment from. */
using ClockHook = std::function<TimePoint()>;

/** The clock of this machine. */
inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

/** @p duration in seconds, for logs and metrics. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace pimentoshed::core
