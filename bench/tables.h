/**
 * @file
 * Measures tables, encodings and decisions within this process.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

void measureTables(Results &results);

} // namespace pimentoshed::bench
