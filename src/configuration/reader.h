/**
 * @file
 * Reads tables of the operator's file by the table of keys.
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

/** A mistake at @p place. */
Mistake mistakeAt(core::ErrorCode code, const toml::source_region &place, std::string key, std::string expected);

/** @p parent and @p name as one dotted key; names that are not bare are quoted and made printable. */
std::string dotted(std::string_view parent, std::string_view name);

/** Reads every key of @p section in @p table, which stands at @p path; keys of no table row are mistakes. */
void readSection(const toml::table &table,
                 Section section,
                 const std::string &path,
                 const ValueSetter &store,
                 std::vector<Mistake> &mistakes);

/** Reads the whole of @p root. */
Configuration readFile(const toml::table &root, std::vector<Mistake> &mistakes);

} // namespace pimentoshed::configuration
