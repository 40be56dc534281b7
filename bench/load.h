/**
 * @file
 * Compares requests through an entry host with direct requests, at several rates.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

/** Measures the latency that an entry host adds and its processor time, at four request rates. */
void measureHop(Results &results);

} // namespace pimentoshed::bench
