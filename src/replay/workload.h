/**
 * @file
 * Generates traces from a seed: a steady load on targets that become slow at random.
 */
#pragma once

#include "replay/trace.h"

#include <cstdint>

namespace pimentoshed::replay
{

/** Parameters of a generated trace. */
struct Workload {
    std::size_t hosts = 17;
    std::size_t targets = 20;
    unsigned slots = 6;
    /** Mean share of all slots in use while no target is slow. */
    double load = 0.4;
    core::Duration length = std::chrono::seconds(10);
    /** Mean time that a request takes at full speed. */
    core::Duration meanServiceTime = std::chrono::milliseconds(5);
    /** Mean length of a target's slow periods. */
    core::Duration meanSlowPeriod = std::chrono::milliseconds(50);
    /** Mean time between two slow periods of a target. */
    core::Duration meanSlowPeriodInterval = std::chrono::seconds(2);
    /** Factor by which requests take longer in a slow period. */
    double slowdown = 10;
};

/**
 * Generates a trace with three failure domains. Service times, slow periods and the intervals between events are
 * exponentially distributed. The same workload and seed give the same trace.
 */
Trace makeTrace(const Workload &workload, std::uint64_t seed);

} // namespace pimentoshed::replay
