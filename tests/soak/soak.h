/**
 * @file
 * A fault soak: real processes under a seeded schedule of faults, while callers, targets and operators check what the
 * system promises.
 */
#pragma once

#include "core/time.h"
#include "soak/promises.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentoshed::soak
{

struct SoakSettings {
    std::uint64_t seed = 1;
    core::Duration length = std::chrono::seconds(60);
    unsigned processes = 24;
    /** Second number of the addresses; soaks that run at the same time need different values. */
    unsigned subnet = 40;
    /** Whether to print the schedule, each event and the summary. */
    bool isVerbose = true;
};

/** The result of a soak. */
struct SoakResult {
    std::vector<BrokenPromise> broken;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    /** Requests that were sent behind a response that closed the connection. */
    std::size_t behindClose = 0;
    std::size_t changes = 0;
};

/** Runs a soak. Prints the log lines of the processes around each broken promise. */
SoakResult runSoak(const SoakSettings &settings);

} // namespace pimentoshed::soak
