/**
 * @file
 * Randomness as decisions take it: a hook, seeded by whoever runs them.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>

namespace pimentoshed::core
{

/** Yields 64 random bits a call. Not safe for concurrent calls unless its maker says so. */
using RandomSource = std::function<std::uint64_t()>;

/** A reproducible source. */
inline RandomSource seededRandom(std::uint64_t seed)
{
    return [engine = std::make_shared<std::mt19937_64>(seed)]() {
        return (*engine)();
    };
}

/** A value in [0, @p bound). @p bound must be positive. */
inline std::size_t randomBelow(const RandomSource &random, std::size_t bound)
{
    return static_cast<std::size_t>(random() % bound);
}

/** A value in [0, 1). */
inline double randomFraction(const RandomSource &random)
{
    constexpr int MantissaBits = 53;
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
    return static_cast<double>(random() >> (64 - MantissaBits)) * Scale;
}

} // namespace pimentoshed::core
