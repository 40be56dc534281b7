/**
 * @file
 * Measures heap and processor time of tables, encodings and routing decisions within this process.
 */
#pragma once

#include "measures.h"

namespace pimentoshed::bench
{

void measureTables(Results &results);

} // namespace pimentoshed::bench
