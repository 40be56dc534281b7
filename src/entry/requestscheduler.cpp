#include "entry/requestscheduler.h"

#include "http/await.h"

#include <utility>
#include <vector>

namespace pimentoshed::entry
{

namespace
{

/** Requests that may wait at one entry host, of all services: some hundred clients come to each. */
constexpr std::size_t HostLimit = 1024;
/** Between two turns without a sign of room: a fraction of the work of any request. */
constexpr auto TickPeriod = std::chrono::milliseconds(15);

core::Error evictedError()
{
    return {core::ErrorCode::QueueFull, "a more important request needed the place"};
}

} // namespace

RequestScheduler::RequestScheduler(core::TimerService &timers)
    : m_timers(timers)
    , m_queue(HostLimit)
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
        end(ticket, core::Error{core::ErrorCode::NoTarget, "its service is gone"});
    }
}

core::Result<admission::DequeuedRequest> RequestScheduler::wait(http::Exchange &exchange,
                                                                const core::ServiceName &service,
                                                                core::TimePoint deadline,
                                                                core::Duration expectedLatency)
{
    return awaitTurn(exchange, [&](Waiter waiter) {
        const auto admitted = m_queue.enqueue(service, deadline, expectedLatency, m_timers.now());
        if (!core::ok(admitted)) {
            waiter(core::error(admitted));
            return;
        }
        keep(core::value(admitted).ticket, std::move(waiter));
        if (const auto evicted = core::value(admitted).evicted) {
            end(*evicted, evictedError());
        }
    });
}

core::Result<admission::DequeuedRequest> RequestScheduler::waitAgain(http::Exchange &exchange,
                                                                     const admission::DequeuedRequest &turn)
{
    return awaitTurn(exchange, [&](Waiter waiter) {
        keep(turn.ticket, std::move(waiter));
        {
            const core::Lock lock(m_mutex);
            m_active.erase(turn.service);
        }
        if (!m_queue.requeue(turn)) {
            end(turn.ticket, core::Error{core::ErrorCode::NoTarget, "its service is gone"});
        }
        serve();
    });
}

void RequestScheduler::taken(const admission::DequeuedRequest &turn)
{
    {
        const core::Lock lock(m_mutex);
        m_active.erase(turn.service);
    }
    // Where one found room, the next may.
    roomIn(turn.service);
}

void RequestScheduler::roomIn(const core::ServiceName &service)
{
    if (m_queue.waitingCount(service) > 0) {
        m_queue.markReady(service);
        serve();
    }
}

std::size_t RequestScheduler::waiting(const core::ServiceName &service) const
{
    return m_queue.waitingCount(service);
}

core::Result<admission::DequeuedRequest> RequestScheduler::awaitTurn(http::Exchange &exchange,
                                                                     const std::function<void(Waiter)> &enter)
{
    return http::await<core::Result<admission::DequeuedRequest>>(exchange, enter);
}

void RequestScheduler::keep(admission::Ticket ticket, Waiter waiter)
{
    const core::Lock lock(m_mutex);
    m_waiters.emplace(ticket, std::move(waiter));
    if (!std::exchange(m_ticking, true)) {
        m_timer = m_timers.after(TickPeriod, [this]() {
            tick();
        });
    }
}

void RequestScheduler::end(admission::Ticket ticket, core::Result<admission::DequeuedRequest> outcome)
{
    Waiter waiter;
    {
        const core::Lock lock(m_mutex);
        if (auto found = m_waiters.extract(ticket)) {
            waiter = std::move(found.mapped());
        }
    }
    if (waiter) {
        waiter(std::move(outcome));
    }
}

void RequestScheduler::serve()
{
    while (const auto turn = m_queue.dequeue(m_timers.now())) {
        bool active = false;
        {
            const core::Lock lock(m_mutex);
            active = !m_active.insert(turn->service).second;
        }
        if (active) {
            m_queue.requeue(*turn);
        } else {
            end(turn->ticket, *turn);
        }
    }
}

void RequestScheduler::tick()
{
    for (const auto ticket : m_queue.removeExpired(m_timers.now())) {
        end(ticket, core::Error{core::ErrorCode::DeadlinePassed, "no target had room in time"});
    }
    std::vector<core::ServiceName> services;
    {
        const core::Lock lock(m_mutex);
        services.assign(m_services.begin(), m_services.end());
    }
    for (const auto &service : services) {
        m_queue.markReady(service);
    }
    serve();
    const core::Lock lock(m_mutex);
    m_ticking = !m_waiters.empty();
    if (m_ticking) {
        m_timer = m_timers.after(TickPeriod, [this]() {
            tick();
        });
    }
}

} // namespace pimentoshed::entry
