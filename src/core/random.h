/**
 * @file
 * Random numbers from an injected source, so that code which uses them can be run reproducibly.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>

namespace pimentoshed::core
{

/** Returns 64 random bits per call. Not thread-safe, unless the function that creates the source says otherwise. */
using RandomSource = std::function<std::uint64_t()>;

/** Returns a source that yields the same sequence for the same @p seed. Copies share one state; not thread-safe. */
inline RandomSource seededRandom(std::uint64_t seed)
{
    return [engine = std::make_shared<std::mt19937_64>(seed)]() {
        return (*engine)();
    };
}

/** Returns a random value in [0, @p bound). @p bound must be positive. */
inline std::size_t randomBelow(const RandomSource &random, std::size_t bound)
{
    return static_cast<std::size_t>(random() % bound);
}

/** Returns a random value in [0, 1). */
inline double randomFraction(const RandomSource &random)
{
    constexpr int MantissaBits = 53;
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
    return static_cast<double>(random() >> (64 - MantissaBits)) * Scale;
}

} // namespace pimentoshed::core
