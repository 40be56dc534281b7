/**
 * @file
 * Traces made from a seed: steady load on targets that straggle at random.
 */
#pragma once

#include "replay/trace.h"

#include <cstdint>

namespace pimentoshed::replay
{

/** The size and load of a made trace. */
struct Workload {
    std::size_t hosts = 17;
    std::size_t targets = 20;
    unsigned slots = 6;
    /** Share of all slots that work takes while no target straggles. */
    double load = 0.4;
    core::Duration length = std::chrono::seconds(10);
    core::Duration meanWork = std::chrono::milliseconds(5);
    core::Duration meanSpell = std::chrono::milliseconds(50);
    core::Duration meanSpellInterval = std::chrono::seconds(2);
    double slowdown = 10;
};

/** The same trace for the same workload and seed. Three failure domains, work and spells of exponential length. */
Trace makeTrace(const Workload &workload, std::uint64_t seed);

} // namespace pimentoshed::replay
