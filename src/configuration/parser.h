/**
 * @file
 * Reads an operator's file (TOML).
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

/** One mistake in a file. */
struct Mistake {
    core::ErrorCode code;
    /** Counted from 1; 0 where the mistake has no place. */
    unsigned line = 0;
    unsigned column = 0;
    /** Dotted path of the key. */
    std::string key;
    std::string expected;

    bool operator==(const Mistake &) const = default;
};

using ParseResult = std::variant<Configuration, std::vector<Mistake>>;

/** Reads one kind of file. Must be the same on every host, and always read the same text alike. */
using FileParser = std::function<ParseResult(std::string_view)>;

/** The configuration that @p text describes, or every mistake in it. */
ParseResult parse(std::string_view text);

/** "12:5 service.loans.slots: expected an integer from 1 to 10000 (E2005 config-out-of-bounds)". */
std::string describe(const Mistake &mistake);

} // namespace pimentoshed::configuration
