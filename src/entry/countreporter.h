/**
 * @file
 * Reports what an entry host counts for rollouts in progress.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "rollouts/activerollouts.h"

#include <functional>
#include <vector>

namespace pimentoshed::entry
{

/** Uses no timer while no rollout is in progress. Thread-safe; lock rank Connections. */
class CountReporter
{
public:
    using SendHook = std::function<void(const std::vector<rollouts::HostCounts> &)>;

    CountReporter(core::TimerService &timers, const rollouts::ActiveRollouts &rollouts, SendHook send);

    /** Starts or stops the reports after a change of the rollouts. */
    void update();
    void stop();

private:
    void report() const;

    core::TimerService &m_timers;
    const rollouts::ActiveRollouts &m_rollouts;
    const SendHook m_send;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    bool m_isReporting = false;
    bool m_isStopped = false;
    core::TimerSubscription m_timer;
};

} // namespace pimentoshed::entry
