/**
 * @file
 * Limits how long a slow caller may keep an exchange waiting.
 */
#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace pimentoshed::http
{

/** The minimum transfer rate that is expected of callers. */
struct MinimumRate {
    /** Waiting time available at the start of an exchange; also the most that can be accumulated. */
    core::Duration grace = std::chrono::seconds(5);
    /** Transferred bytes that add one second of waiting time. */
    std::uint64_t bytesPerSecond = 16384;
};

/** Waiting time left in one direction of one exchange: transferred bytes add to it, waiting uses it up. */
class StallBudget
{
public:
    explicit StallBudget(MinimumRate rate)
        : m_rate(rate)
        , m_remaining(rate.grace)
    {
    }

    /** Returns how long the next operation may take. */
    core::Duration remaining() const
    {
        return m_remaining;
    }

    /** Records an operation that transferred @p bytes in @p waited. The time left never exceeds the grace period. */
    void record(std::size_t bytes, core::Duration waited)
    {
        constexpr std::uint64_t NanosPerSecond = 1'000'000'000;
        const core::Duration earned(bytes * NanosPerSecond / m_rate.bytesPerSecond);
        m_remaining = std::min(m_rate.grace, m_remaining + earned - waited);
    }

private:
    MinimumRate m_rate;
    core::Duration m_remaining;
};

} // namespace pimentoshed::http
