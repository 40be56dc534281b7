/**
 * @file
 * Made-up targets, entry hosts and files of a given size.
 */
#pragma once

#include "membership/hosts.h"
#include "targets/target.h"

#include <cstdint>
#include <string>

namespace pimentoshed::bench
{

/** The service numbered @p number; the first is the one that requests go to. */
core::ServiceName sampleService(unsigned number);

/** The target numbered @p number, of one of @p services services. */
targets::Target sampleTarget(unsigned number, unsigned services);

membership::EntryHost sampleHost(unsigned number);

/** An operator's file with @p services services that replaces version @p replaces. */
std::string sampleFile(unsigned services, std::uint64_t replaces);

} // namespace pimentoshed::bench
