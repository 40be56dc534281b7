/**
 * @file
 * Measures fleets of real processes at rest and under one change a second.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

/** Runs fleets of several sizes, one after the other. Throws where one does not start. */
void measureFleets(Results &results);

/** A value of a process's metrics page, summed over the samples whose name begins with @p prefix. */
double sumSamples(const std::string &exposition, const std::string &prefix);

} // namespace pimentoshed::bench
