/**
 * @file
 * Notices that this process did not run for a while, because it or its machine was frozen.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"

#include <functional>
#include <optional>

namespace pimentoshed::core
{

/** Finds the gaps between the beats of a timer. Thread-safe; lock rank Timers. */
class StallMonitor
{
public:
    /** Returns the time of a clock that also counts suspended time, see bootNow(). */
    using BootClockHook = std::function<BootTime()>;

    /** A gap of more than @p longestPause between two beats is a stall. */
    explicit StallMonitor(Duration longestPause, BootClockHook now = bootNow);

    /** To be called periodically, several times within the longest pause. */
    void beat();

    /** Whether the process ran on after a stall at @p since or later. */
    bool hasStalledSince(BootTime since);

private:
    /** Ends a stall if the latest beat was too long ago. Requires m_mutex. */
    void noticeGap(BootTime now);

    const Duration m_longestPause;
    const BootClockHook m_now;
    RankedMutex m_mutex{LockRank::Timers};
    /** Not set before the first beat, so that a slow start is no stall. */
    std::optional<BootTime> m_lastBeat;
    BootTime m_stallEnd{BootTime::min()};
};

} // namespace pimentoshed::core
