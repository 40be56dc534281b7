#include "entry/requestscheduler.h"

#include "http/await.h"

#include <utility>
#include <vector>

namespace pimentoshed::entry
{

namespace
{

/** Limit on the requests of all services that wait at one entry host; each host serves some hundred clients. */
constexpr std::size_t MaxWaitingRequests = 1024;
/** Period of scheduling without a notification of capacity: a fraction of the processing time of any request. */
constexpr auto SchedulePeriod = std::chrono::milliseconds(15);

core::Error evictedError()
{
    return {core::ErrorCode::QueueFull, "evicted from the queue by a request with precedence"};
}

core::Error removedError()
{
    return {core::ErrorCode::NoSuchService, "the service was removed from the configuration"};
}

core::Error stoppingError()
{
    return {core::ErrorCode::Stopping, "this host may end before the request has a target"};
}

} // namespace

RequestScheduler::RequestScheduler(core::TimerService &timers)
    : m_timers(timers)
    , m_queue(MaxWaitingRequests)
{
}

void RequestScheduler::configure(const configuration::Configuration &configuration)
{
    const auto dropped = m_queue.configure(configuration);
    {
        const core::Lock lock(m_mutex);
        m_services.clear();
        for (const auto &service : configuration.services) {
            m_services.insert(service.name);
        }
    }
    for (const auto ticket : dropped) {
        resume(ticket, removedError());
    }
}

core::Result<admission::DequeuedRequest> RequestScheduler::wait(http::Exchange &exchange,
                                                                const core::ServiceName &service,
                                                                core::TimePoint deadline,
                                                                core::Duration expectedLatency)
{
    return suspend(exchange, [&](Waiter waiter) {
        if (outlastsHost(deadline)) {
            waiter(stoppingError());
            return;
        }
        const auto enqueued = m_queue.enqueue(service, deadline, expectedLatency, m_timers.now());
        if (!core::ok(enqueued)) {
            waiter(core::error(enqueued));
            return;
        }
        const auto ticket = core::value(enqueued).ticket;
        addWaiter(ticket, std::move(waiter));
        endIfOutlastsHost(ticket, deadline);
        if (const auto evicted = core::value(enqueued).evicted) {
            resume(*evicted, evictedError());
        }
    });
}

core::Result<admission::DequeuedRequest> RequestScheduler::requeue(http::Exchange &exchange,
                                                                   const admission::DequeuedRequest &request)
{
    return suspend(exchange, [&](Waiter waiter) {
        addWaiter(request.ticket, std::move(waiter));
        {
            const core::Lock lock(m_mutex);
            m_scheduled.erase(request.service);
        }
        returnToQueue(request);
        scheduleReady();
    });
}

void RequestScheduler::complete(const admission::DequeuedRequest &request)
{
    {
        const core::Lock lock(m_mutex);
        m_scheduled.erase(request.service);
    }
    // If this request found capacity, the next one may too.
    notifyCapacity(request.service);
}

void RequestScheduler::notifyCapacity(const core::ServiceName &service)
{
    if (m_queue.waitingCount(service) > 0) {
        m_queue.markReady(service);
        scheduleReady();
    }
}

void RequestScheduler::stopAt(core::TimePoint end)
{
    {
        const core::Lock lock(m_mutex);
        m_end = end;
    }
    for (const auto ticket : m_queue.removeEndingAfter(end)) {
        resume(ticket, stoppingError());
    }
}

bool RequestScheduler::outlastsHost(core::TimePoint deadline) const
{
    const core::Lock lock(m_mutex);
    return m_end && deadline > *m_end;
}

std::size_t RequestScheduler::waitingCount(const core::ServiceName &service) const
{
    return m_queue.waitingCount(service);
}

core::Result<admission::DequeuedRequest> RequestScheduler::suspend(http::Exchange &exchange,
                                                                   const std::function<void(Waiter)> &registerWaiter)
{
    return http::await<core::Result<admission::DequeuedRequest>>(exchange, registerWaiter);
}

void RequestScheduler::addWaiter(admission::Ticket ticket, Waiter waiter)
{
    Outcome early = core::Error{};
    {
        const core::Lock lock(m_mutex);
        auto found = m_earlyOutcomes.extract(ticket);
        if (!found) {
            m_waiters.emplace(ticket, std::move(waiter));
            if (!std::exchange(m_isTimerRunning, true)) {
                m_timer = m_timers.after(SchedulePeriod, [this]() {
                    onTimer();
                });
            }
            return;
        }
        early = std::move(found.mapped());
    }
    waiter(std::move(early));
}

void RequestScheduler::resume(admission::Ticket ticket, Outcome outcome)
{
    Waiter waiter;
    {
        const core::Lock lock(m_mutex);
        auto found = m_waiters.extract(ticket);
        if (!found) {
            // The request has just entered the queue: addWaiter() will take the outcome.
            m_earlyOutcomes.emplace(ticket, std::move(outcome));
            return;
        }
        waiter = std::move(found.mapped());
    }
    waiter(std::move(outcome));
}

void RequestScheduler::returnToQueue(const admission::DequeuedRequest &request)
{
    if (m_queue.requeue(request)) {
        endIfOutlastsHost(request.ticket, request.deadline);
    } else {
        resume(request.ticket, removedError());
    }
}

void RequestScheduler::endIfOutlastsHost(admission::Ticket ticket, core::TimePoint deadline)
{
    if (outlastsHost(deadline) && m_queue.cancel(ticket)) {
        resume(ticket, stoppingError());
    }
}

void RequestScheduler::scheduleReady()
{
    while (const auto request = m_queue.dequeue(m_timers.now())) {
        bool alreadyScheduled = false;
        {
            const core::Lock lock(m_mutex);
            alreadyScheduled = !m_scheduled.insert(request->service).second;
        }
        if (alreadyScheduled) {
            returnToQueue(*request);
        } else {
            resume(request->ticket, *request);
        }
    }
}

void RequestScheduler::onTimer()
{
    for (const auto ticket : m_queue.removeExpired(m_timers.now())) {
        resume(ticket,
               core::Error{core::ErrorCode::DeadlinePassed, "no target had capacity in time to meet the deadline"});
    }
    std::vector<core::ServiceName> services;
    {
        const core::Lock lock(m_mutex);
        services.assign(m_services.begin(), m_services.end());
    }
    for (const auto &service : services) {
        m_queue.markReady(service);
    }
    scheduleReady();
    const core::Lock lock(m_mutex);
    m_isTimerRunning = !m_waiters.empty();
    if (m_isTimerRunning) {
        m_timer = m_timers.after(SchedulePeriod, [this]() {
            onTimer();
        });
    }
}

} // namespace pimentoshed::entry
