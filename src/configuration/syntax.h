/**
 * @file
 * From the text of an operator's file to tables. Goes on behind a syntax error, so that one run shows them all.
 */
#pragma once

#include "configuration/parser.h"
#include "configuration/toml.h"

#include <string_view>
#include <vector>

namespace pimentoshed::configuration
{

/** What could be read, and the syntax errors on the way. */
struct Document {
    toml::table root;
    std::vector<Mistake> mistakes;
};

/** A table of this name stands in for one whose header is damaged. Not a name that a file can use. */
inline constexpr std::string_view DamagedTable = "\x7f";

/** Reads @p text. Never throws on any input. */
Document readDocument(std::string_view text);

} // namespace pimentoshed::configuration
