/**
 * @file
 * Parses the TOML syntax of an operator's file. Continues after a syntax error, so that one run reports all of them, up
 * to a limit.
 */
#pragma once

#include "configuration/parser.h"
#include "configuration/toml.h"

#include <string_view>
#include <vector>

namespace pimentoshed::configuration
{

/** The tables that could be parsed, and the syntax errors found. */
struct Document {
    toml::table root;
    std::vector<Mistake> mistakes;
};

/** Name of the table that replaces a table with a syntax error in its header. No valid file uses this name. */
inline constexpr std::string_view DamagedTableName = "\x7f";

/** Parses @p text. Does not throw, whatever the text contains. */
Document parseDocument(std::string_view text);

} // namespace pimentoshed::configuration
