/**
 * @file
 * Parses and checks an operator's file (TOML).
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pimentoshed::configuration
{

/** One mistake in a file. Control hosts store its description with the refused change, so its texts must not change. */
struct Mistake {
    core::ErrorCode code;
    /** Counted from 1; 0 if the mistake has no position. */
    unsigned line = 0;
    unsigned column = 0;
    /** Dotted path of the key; empty for syntax errors. */
    std::string key;
    /** Describes what would be valid, as a phrase after "expected". */
    std::string expected;

    bool operator==(const Mistake &) const = default;
};

using ParseResult = std::variant<Configuration, std::vector<Mistake>>;

/** Parses files of one format. Must be the same on every host, and deterministic: the same text, the same result. */
using FileParser = std::function<ParseResult(std::string_view)>;

/** Returns the configuration in @p text, or the mistakes found in it, ordered by position. */
ParseResult parse(std::string_view text);

/** Formats @p mistake as "12:5 service.s.slots: expected an integer from 1 to 10000 (E2005 config-out-of-bounds)". */
std::string describe(const Mistake &mistake);

} // namespace pimentoshed::configuration
