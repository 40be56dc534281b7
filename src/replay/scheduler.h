/**
 * @file
 * The virtual clock of a replay: runs actions in order of time, and in order of scheduling for equal times.
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

    /** Schedules @p action to run after @p delay. */
    void schedule(core::Duration delay, std::function<void()> action)
    {
        m_actions.push({m_now + delay, m_order++, std::move(action)});
    }

    /** Runs the actions that are due by @p until, and sets the time to it. */
    void advance(core::TimePoint until)
    {
        runUntil(until);
        m_now = until;
    }

    /** Runs all actions, including those that are scheduled meanwhile. */
    void finish()
    {
        runUntil(core::TimePoint::max());
    }

private:
    struct ScheduledAction {
        core::TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const ScheduledAction &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void runUntil(core::TimePoint until)
    {
        while (!m_actions.empty() && m_actions.top().at <= until) {
            const auto next = m_actions.top();
            m_actions.pop();
            m_now = next.at;
            next.action();
        }
    }

    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> m_actions;
    std::uint64_t m_order = 0;
    core::TimePoint m_now{};
};

} // namespace pimentoshed::replay
