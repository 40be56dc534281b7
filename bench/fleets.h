/**
 * @file
 * Measures fleets of real processes at rest and under one change a second.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

/** Runs fleets of several sizes, one after the other. Throws std::runtime_error if a fleet does not start. */
void measureFleets(Results &results);

/** The sum of the samples on a metrics page whose lines begin with @p prefix. */
double sumSamples(const std::string &exposition, const std::string &prefix);

} // namespace pimentoshed::bench
