/**
 * @file
 * Generates targets, entry hosts and configuration files for measurements.
 */
#pragma once

#include "membership/hosts.h"
#include "targets/target.h"

#include <cstdint>
#include <string>

namespace pimentoshed::bench
{

/** The name of service number @p number; requests go to number 0. */
core::ServiceName sampleService(unsigned number);

/** Target number @p number; the targets are distributed over @p services services in turn. */
targets::Target sampleTarget(unsigned number, unsigned services);

/** Entry host number @p number. */
membership::EntryHost sampleHost(unsigned number);

/** An operator's file with @p services services that replaces version @p replaces. */
std::string sampleFile(unsigned services, std::uint64_t replaces);

} // namespace pimentoshed::bench
