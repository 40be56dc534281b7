/**
 * @file
 * Bounds the time that an order may have waited at this host.
 */
#pragma once

#include "core/stallmonitor.h"
#include "core/time.h"

#include <chrono>

namespace pimentoshed::control
{

/** A caller sends its order to another control host after this time without a response. */
inline constexpr auto CallerPatience = std::chrono::seconds(1);
/** A pause of this process from which on orders that arrived during it may be too old; half of the patience. */
inline constexpr auto LongestPause = std::chrono::milliseconds(500);

/**
 * The age of an order that names no state that it replaces. Such an order takes effect on whatever is in force when it
 * is carried out, so it must not be carried out once its caller may have sent it to another host and ordered something
 * else since. Thread-safe.
 */
class OrderAge
{
public:
    /** Begins when this host has read the order. */
    explicit OrderAge(core::StallMonitor &stalls, core::StallMonitor::BootClockHook now = core::bootNow);

    /**
     * Whether the caller may have given the order up: it has been processed for too long, or it may have waited unread
     * while this process was frozen.
     */
    bool mayBeStale() const;

private:
    core::StallMonitor &m_stalls;
    const core::StallMonitor::BootClockHook m_now;
    const core::BootTime m_readAt;
};

} // namespace pimentoshed::control
