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

/** Reads the results that writeResults() wrote into @p folder. */
Results readResults(const std::string &folder);

/** An SVG plot of one measure with its fitted line. */
std::string plot(const MeasureRow &row, const std::vector<Point> &points);

/**
 * Replaces the text between "<!-- generated: NAME -->" and "<!-- end -->" in the file @p path. Throws
 * std::runtime_error if the file has no such block.
 */
void rewriteBlock(const std::string &path, const std::string &name, const std::string &text);

/** Formats a number with three significant digits or, from 1000 on, with the suffix k or M. */
std::string shortNumber(double value);

/** A Markdown table of all measures with their fitted lines. */
std::string slopeTable(const Results &results);

} // namespace pimentoshed::bench
