/**
 * @file
 * The only header that includes toml++, so that all units use it with the same settings.
 */
#pragma once

#include <stdexcept>

namespace pimentoshed::configuration
{

/**
 * Called when an assertion in toml++ fails, which some malformed files cause. Throws, so that the process doesn't abort
 * and the assertion isn't taken as true by the optimiser.
 */
[[noreturn]] inline void failTomlAssumption()
{
    throw std::logic_error("Error while parsing: unexpected character");
}

} // namespace pimentoshed::configuration

/** No key needs deeper nesting; a file with more is refused before it exhausts the stack. */
#define TOML_MAX_NESTED_VALUES 16
#define TOML_ASSERT(expr)                                                                                              \
    do {                                                                                                               \
        if (!(expr)) {                                                                                                 \
            ::pimentoshed::configuration::failTomlAssumption();                                                        \
        }                                                                                                              \
    } while (false)

// With NDEBUG defined, toml++ turns its assertions into assumptions for the optimiser.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
