/**
 * @file
 * Measures chains of nested calls, either all through an entry host or all direct.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

/** Measures the duration of chains of four depths, both ways. Throws std::runtime_error if a call fails. */
void measureChains(Results &results);

} // namespace pimentoshed::bench
