/**
 * @file
 * The page's tables, worked out from the measured slopes.
 */
#pragma once

#include "measures.h"

#include <string>

namespace pimentoshed::bench
{

/** What each role holds, sends and spends at today's size and at the expected one. */
std::string roleTables(const Results &results);

/** The sums against the limits. */
std::string limitTable(const Results &results);

/** What would bring the sums under the limits. */
std::string remedyTable(const Results &results);

/** What a chain of calls adds up. */
std::string chainTable(const Results &results);

/** What failures cost. */
std::string failureTable(const Results &results);

} // namespace pimentoshed::bench
