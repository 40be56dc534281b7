/**
 * @file
 * The time of a replay: actions in order of their moments, and of their making among equals.
 */
#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace pimentoshed::replay
{

/** Not thread-safe. */
class Scheduler
{
public:
    core::TimePoint now() const
    {
        return m_now;
    }

    void schedule(core::Duration delay, std::function<void()> action)
    {
        m_later.push({m_now + delay, m_order++, std::move(action)});
    }

    /** Runs what is due until @p until, and moves there. */
    void advance(core::TimePoint until)
    {
        runUntil(until);
        m_now = until;
    }

    /** Runs everything, and what comes of it. */
    void finish()
    {
        runUntil(core::TimePoint::max());
    }

private:
    struct Later {
        core::TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Later &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void runUntil(core::TimePoint until)
    {
        while (!m_later.empty() && m_later.top().at <= until) {
            const auto next = m_later.top();
            m_later.pop();
            m_now = next.at;
            next.action();
        }
    }

    std::priority_queue<Later, std::vector<Later>, std::greater<>> m_later;
    std::uint64_t m_order = 0;
    core::TimePoint m_now{};
};

} // namespace pimentoshed::replay
