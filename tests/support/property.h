/**
 * @file
 * Runs rapidcheck properties with a fixed seed.
 */
#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace support
{

/**
 * Fails the property unless @p holds. Use it instead of RC_ASSERT, which decomposes its expression: it evaluates both
 * sides of `||`, and keeps operands beyond the lifetime of their temporaries.
 */
inline void require(bool holds)
{
    RC_ASSERT(holds);
}

/** Parameters of a run of a property; equal values give identical runs. */
struct PropertyOptions {
    std::uint64_t seed;
    int count;
    int size = 100;
};

/** Checks @p testable; on failure prints the seed and the smallest counterexample found. */
template<typename Testable>
void checkProperty(const std::string &name, const PropertyOptions &options, Testable &&testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = options.seed;
    params.maxSuccess = options.count;
    params.maxSize = options.size;
    const auto property = rc::detail::toProperty(std::forward<Testable>(testable));
    const auto result = rc::detail::checkProperty(property, metadata, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    INFO(name << ", seed " << options.seed << ": " << message.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace support
