/**
 * @file
 * What a target says of its load with an answer.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::routing
{

/** A target's own counts at the moment of its answer, of the requests of all hosts. */
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
    /** Requests that it runs at once; 0 where it doesn't say. */
    unsigned slots = 0;
    /** How long work takes there at the moment, as a multiple of the usual. */
    double slowness = 1;
    /** How much longer it stays cold. */
    core::Duration remainingColdTime{};
    /** Whether it counts itself fit to serve. */
    bool healthy = true;

    bool operator==(const LoadReport &) const = default;
};

} // namespace pimentoshed::routing
