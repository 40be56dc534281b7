/**
 * @file
 * Times calls that call further, each through an entry host or each direct.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

/** Measures chains of four depths. */
void measureChains(Results &results);

} // namespace pimentoshed::bench
