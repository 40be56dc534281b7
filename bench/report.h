/**
 * @file
 * Writes results as JSON lines, SVG plots, and generated tables of a page.
 */
#pragma once

#include "measures.h"

#include <string>

namespace pimentoshed::bench
{

/** Writes results.jsonl and a plot per measure into @p folder. */
void writeResults(const Results &results, const std::string &folder);

/** Reads what writeResults wrote into @p folder. */
Results readResults(const std::string &folder);

/** The plot of one measure with its fitted line. */
std::string plot(const MeasureRow &row, const std::vector<Point> &points);

/** Replaces what stands between "<!-- generated: NAME -->" and "<!-- end -->" in the file @p path. */
void rewriteBlock(const std::string &path, const std::string &name, const std::string &text);

/** A number with three significant digits or, from a thousand on, with k or M. */
std::string shortNumber(double value);

/** The table of slopes. */
std::string slopeTable(const Results &results);

} // namespace pimentoshed::bench
