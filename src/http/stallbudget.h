/**
 * @file
 * How long a caller may keep an exchange waiting.
 */
#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace pimentoshed::http
{

/** The least that is expected of callers. */
struct MinimumRate {
    /** Waiting that is free of charge. */
    core::Duration grace = std::chrono::seconds(5);
    /** Bytes that earn another second of waiting. */
    std::uint64_t bytesPerSecond = 16384;
};

/** One direction of one exchange: each byte moved earns time, each wait spends it. */
class StallBudget
{
public:
    explicit StallBudget(MinimumRate limits)
        : m_limits(limits)
        , m_left(limits.grace)
    {
    }

    /** How long the next operation may take. */
    core::Duration left() const
    {
        return m_left;
    }

    /** Takes an operation that moved @p bytes in @p waited. Time in hand never exceeds the grace. */
    void moved(std::size_t bytes, core::Duration waited)
    {
        constexpr std::uint64_t NanosPerSecond = 1'000'000'000;
        const core::Duration earned(bytes * NanosPerSecond / m_limits.bytesPerSecond);
        m_left = std::min(m_limits.grace, m_left + earned - waited);
    }

private:
    MinimumRate m_limits;
    core::Duration m_left;
};

} // namespace pimentoshed::http
