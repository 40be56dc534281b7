/**
 * @file
 * Where requests wait in their coroutines for a target with room.
 */
#pragma once

#include "admission/queue.h"
#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "http/exchange.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace pimentoshed::entry
{

/**
 * Gives turns in the order of admission::Queue, one at a time for each service: a turn is given when a request of the
 * service ends or its targets change, and now and then besides, as other hosts' requests end unseen. Thread-safe; rank
 * Requests.
 */
class RequestScheduler
{
public:
    explicit RequestScheduler(core::TimerService &timers);

    void configure(const configuration::Configuration &configuration);

    /**
     * Yields the exchange's coroutine until the request's turn. Each turn ends with one call of taken() or waitAgain().
     * Errors, all of which mean not run: those of admission::Queue::offer.
     */
    core::Result<admission::DequeuedRequest> wait(http::Exchange &exchange,
                                                  const core::ServiceName &service,
                                                  core::TimePoint deadline,
                                                  core::Duration expectedLatency);

    /** Waits for another turn after one that found no target. */
    core::Result<admission::DequeuedRequest> waitAgain(http::Exchange &exchange,
                                                       const admission::DequeuedRequest &turn);

    /** A turn led to a target, or is not needed any more. */
    void taken(const admission::DequeuedRequest &turn);

    /** Takes the word that @p service may have room. */
    void roomIn(const core::ServiceName &service);

    std::size_t waiting(const core::ServiceName &service) const;

private:
    using Waiter = std::function<void(core::Result<admission::DequeuedRequest>)>;

    core::Result<admission::DequeuedRequest> awaitTurn(http::Exchange &exchange,
                                                       const std::function<void(Waiter)> &enter);
    void keep(admission::Ticket ticket, Waiter waiter);
    void end(admission::Ticket ticket, core::Result<admission::DequeuedRequest> outcome);
    /** Gives every turn that can be given now. */
    void serve();
    void tick();

    core::TimerService &m_timers;
    admission::Queue m_queue;
    mutable core::RankedMutex m_mutex{core::LockRank::Requests};
    std::unordered_map<admission::Ticket, Waiter> m_waiters;
    /** Services of which a request has its turn now. */
    std::set<core::ServiceName> m_active;
    std::set<core::ServiceName> m_services;
    bool m_ticking = false;
    core::TimerSubscription m_timer;
};

} // namespace pimentoshed::entry
