/**
 * @file
 * Resource usage of this process.
 */
#pragma once

#include "core/time.h"

#include <cstddef>

namespace pimentoshed::telemetry
{

/** Processor time so far (user and system), and the memory resident now. */
struct ProcessUsage {
    core::Duration cpu{};
    std::size_t residentBytes = 0;
};

/** Returns the current usage; residentBytes is 0 where /proc is not available. */
ProcessUsage processUsage();

} // namespace pimentoshed::telemetry
