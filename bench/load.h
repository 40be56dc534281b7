/**
 * @file
 * Sends requests at set rates through an entry host and past it.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

/** Measures what one hop adds at four rates. */
void measureHop(Results &results);

} // namespace pimentoshed::bench
