/**
 * @file
 * The one place that includes toml++, so that each unit sees it with the same settings.
 */
#pragma once

#include <stdexcept>

namespace pimentoshed::configuration
{

/** Some malformed files break what toml++ asserts or assumes of itself; that must neither abort nor be assumed true. */
[[noreturn]] inline void failTomlAssumption()
{
    throw std::logic_error("Error while parsing: unexpected character");
}

} // namespace pimentoshed::configuration

/** Values nested deeper than any key takes are refused before they use up the stack. */
#define TOML_MAX_NESTED_VALUES 16
#define TOML_ASSERT(expr)                                                                                              \
    do {                                                                                                               \
        if (!(expr)) {                                                                                                 \
            ::pimentoshed::configuration::failTomlAssumption();                                                        \
        }                                                                                                              \
    } while (false)

// With NDEBUG toml++ turns its assertions into assumptions of the optimiser.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
