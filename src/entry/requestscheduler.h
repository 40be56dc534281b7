/**
 * @file
 * Suspends the coroutines of requests until a target has capacity, and resumes them in the order of the queue.
 */
#pragma once

#include "admission/queue.h"
#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "http/exchange.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace pimentoshed::entry
{

/**
 * Schedules waiting requests in the order of admission::Queue, one at a time for each service. A request is scheduled
 * when another request of the service ends or its targets change, and also periodically, because this host isn't
 * notified when a request of another host ends and frees capacity. Thread-safe; lock rank Requests.
 */
class RequestScheduler
{
public:
    explicit RequestScheduler(core::TimerService &timers);

    /** Sets the institutions and services. Requests that wait for a removed service end with NoSuchService. */
    void configure(const configuration::Configuration &configuration);

    /**
     * Enqueues the request and suspends the exchange's coroutine until the request is scheduled. Each scheduling ends
     * with one call of complete() or requeue(). Errors, all of which mean that the request was not run: those of the
     * queue when a request is enqueued, NoSuchService if the service is removed, DeadlinePassed if no target has
     * capacity in time, Stopping if @p deadline is after the end of this host.
     */
    core::Result<admission::DequeuedRequest> wait(http::Exchange &exchange,
                                                  const core::ServiceName &service,
                                                  core::TimePoint deadline,
                                                  core::Duration expectedLatency);

    /** Requeues a scheduled request that found no target, and waits as wait() does. */
    core::Result<admission::DequeuedRequest> requeue(http::Exchange &exchange,
                                                     const admission::DequeuedRequest &request);

    /** Ends the scheduling of a request that got a target or needs none any more. */
    void complete(const admission::DequeuedRequest &request);

    /** Notifies the queue that a target of @p service may have capacity. */
    void notifyCapacity(const core::ServiceName &service);

    /** Announces that this host ends at @p end. Requests that could wait for longer than that end with Stopping. */
    void stopAt(core::TimePoint end);

    /** Number of requests that wait for @p service. */
    std::size_t waitingCount(const core::ServiceName &service) const;

private:
    using Outcome = core::Result<admission::DequeuedRequest>;
    /** Resumes a waiting coroutine with the result. */
    using Waiter = std::function<void(Outcome)>;

    /** Whether a request that may wait until @p deadline could still be waiting when this host ends. */
    bool outlastsHost(core::TimePoint deadline) const;
    core::Result<admission::DequeuedRequest> suspend(http::Exchange &exchange,
                                                     const std::function<void(Waiter)> &registerWaiter);
    /** Stores @p waiter until its request is scheduled or fails, unless it has already, and starts the timer. */
    void addWaiter(admission::Ticket ticket, Waiter waiter);
    /** Resumes the coroutine that waits with @p ticket, or that is about to. Called once for each wait. */
    void resume(admission::Ticket ticket, Outcome outcome);
    /** Puts a dequeued request back into the queue, or ends it if it may no longer wait there. */
    void returnToQueue(const admission::DequeuedRequest &request);
    /** Ends a queued request that stopAt() did not find in the queue because it was about to enter it. */
    void endIfOutlastsHost(admission::Ticket ticket, core::TimePoint deadline);
    /** Schedules every request that can be scheduled now. */
    void scheduleReady();
    /** Ends requests that can no longer meet their deadline, and schedules others for all services. */
    void onTimer();

    core::TimerService &m_timers;
    admission::Queue m_queue;
    mutable core::RankedMutex m_mutex{core::LockRank::Requests};
    std::unordered_map<admission::Ticket, Waiter> m_waiters;
    /** Outcomes of queued requests whose waiters have not been added yet. */
    std::unordered_map<admission::Ticket, Outcome> m_earlyOutcomes;
    /** Services with a scheduled request for which neither complete() nor requeue() has been called yet. */
    std::set<core::ServiceName> m_scheduled;
    /** All configured services. */
    std::set<core::ServiceName> m_services;
    /** When this host ends, if it is stopping. */
    std::optional<core::TimePoint> m_end;
    bool m_isTimerRunning = false;
    core::TimerSubscription m_timer;
};

} // namespace pimentoshed::entry
