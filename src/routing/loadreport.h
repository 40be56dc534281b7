/**
 * @file
 * Load that a target reports in a response.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::routing
{

/** The state of a target at the time of its response. The counts cover the requests of all hosts. */
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
    /** Requests that the target runs at once; 0 if not reported. */
    unsigned slots = 0;
    /** Current processing time at the target, as a multiple of the usual one. */
    double slowness = 1;
    /** How much longer the target stays cold. */
    core::Duration remainingColdTime{};
    /** Whether the target reports itself as healthy. */
    bool healthy = true;

    bool operator==(const LoadReport &) const = default;
};

} // namespace pimentoshed::routing
