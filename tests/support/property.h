/**
 * @file
 * Runs a rapidcheck property with a recorded seed.
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
 * Fails the property unless @p holds. RC_ASSERT itself takes expressions apart: it evaluates both sides of `||`, and
 * its operands can outlive their temporaries.
 */
inline void require(bool holds)
{
    RC_ASSERT(holds);
}

/** How a property is run; equal values give equal runs. */
struct PropertyOptions {
    std::uint64_t seed;
    int count;
    int size = 100;
};

/** Checks @p testable, and prints the smallest counterexample if there is one. */
template<typename Testable>
void checkProperty(const std::string &name, const PropertyOptions &trials, Testable &&testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = trials.seed;
    params.maxSuccess = trials.count;
    params.maxSize = trials.size;
    const auto property = rc::detail::toProperty(std::forward<Testable>(testable));
    const auto result = rc::detail::checkProperty(property, metadata, params);
    std::ostringstream words;
    rc::detail::printResultMessage(result, words);
    INFO(name << ", seed " << trials.seed << ": " << words.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace support
