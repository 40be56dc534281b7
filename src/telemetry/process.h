/**
 * @file
 * What this process has used.
 */
#pragma once

#include "core/time.h"

#include <cstddef>

namespace pimentoshed::telemetry
{

/** Processor time, user and system, and memory now. */
struct ProcessUsage {
    core::Duration cpu{};
    std::size_t residentBytes = 0;
};

ProcessUsage processUsage();

} // namespace pimentoshed::telemetry
