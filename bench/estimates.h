/**
 * @file
 * Tables of docs/CAPACITY.md (Markdown), computed from the fitted lines of the measures.
 */
#pragma once

#include "measures.h"

#include <string>

namespace pimentoshed::bench
{

/** State, messages and processor time of each role, at today's size and at the expected size. */
std::string roleTables(const Results &results);

/** The totals of each role compared with their limits. */
std::string limitTable(const Results &results);

/** The totals under changes to the design that would bring them below the limits. */
std::string remedyTable(const Results &results);

/** The latency that entry hosts add to a chain of calls. */
std::string chainTable(const Results &results);

/** Messages, bytes and failed requests that failures cause. */
std::string failureTable(const Results &results);

} // namespace pimentoshed::bench
