/**
 * @file
 * Converts the parsed TOML of the operator's file to the model, driven by the table of keys.
 */
#pragma once

#include "configuration/bindings.h"
#include "configuration/parser.h"
#include "configuration/toml.h"

#include <string>
#include <string_view>
#include <vector>

namespace pimentoshed::configuration
{

/** Returns a mistake at the start of @p region. */
Mistake mistakeAt(core::ErrorCode code, const toml::source_region &region, std::string key, std::string expected);

/**
 * Joins @p parent and @p name to one dotted key. A name that is not a TOML bare key is quoted, and escaped to printable
 * ASCII.
 */
std::string dottedKey(std::string_view parent, std::string_view name);

/**
 * Reads all keys of @p section from @p table, and passes their values or defaults to @p setValue. @p path is the dotted
 * path of the table. Adds unknown keys, missing keys and invalid values to @p mistakes.
 */
void readSection(const toml::table &table,
                 Section section,
                 const std::string &path,
                 const ValueSetter &setValue,
                 std::vector<Mistake> &mistakes);

/** Converts a whole file; adds what is wrong in single tables to @p mistakes. */
Configuration readConfiguration(const toml::table &root, std::vector<Mistake> &mistakes);

} // namespace pimentoshed::configuration
