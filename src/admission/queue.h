/**
 * @file
 * Queue of the requests that wait at an entry host until a target has a free slot.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"
#include "core/rankedmutex.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentoshed::admission
{

/** Identifies a queued request. Tickets increase in the order of arrival. */
using Ticket = std::uint64_t;

/** Result of a successful enqueue. */
struct EnqueueResult {
    Ticket ticket = 0;
    /** Request that was removed from the queue to free a place. It was not run. */
    std::optional<Ticket> evicted;
};

/** A request that was taken from the queue. It is then either assigned to a target or requeued, once. */
struct DequeuedRequest {
    Ticket ticket = 0;
    core::ServiceName service;
    core::TimePoint deadline{};
    /** The service's count of markReady calls at dequeue; requeue() compares it to detect a call since then. */
    std::uint64_t readyCount = 0;
};

/**
 * Schedules queued requests. Within a service, the earliest deadline is first. Among the services with capacity,
 * institutions are scheduled in proportion to their weights, and the services of one institution equally. A service
 * queues at most its queueLimit requests, the host at most @c hostLimit. When the host is full, the service of the
 * lowest importance, and among equals the one of the institution with the most queued requests per weight, loses the
 * request with the latest deadline; if the new request has no precedence over that one, it is refused instead. A
 * request that can't meet its deadline is refused at once. Thread-safe; lock rank Admission.
 */
class Queue
{
public:
    explicit Queue(std::size_t hostLimit);

    /** Sets institutions and services. Returns the requests that were queued for services no longer configured. */
    std::vector<Ticket> configure(const configuration::Configuration &configuration);

    /**
     * Queues a request that is expected to take @p expectedLatency once it has a target. Errors, all of which mean
     * that the request was not run: NoSuchService, DeadlinePassed, QueueFull.
     */
    core::Result<EnqueueResult> enqueue(const core::ServiceName &service,
                                        core::TimePoint deadline,
                                        core::Duration expectedLatency,
                                        core::TimePoint now);

    /** Removes and returns the next scheduled request of the services with capacity; nullopt if there is none. */
    std::optional<DequeuedRequest> dequeue(core::TimePoint now);

    /**
     * Queues a request again for which no target was found. Its service counts as having no capacity until the next
     * markReady(), unless there was one since the dequeue. Returns false if the service is no longer configured.
     */
    bool requeue(const DequeuedRequest &request);

    /** Marks @p service as possibly having capacity: a request ended, or a target changed. */
    void markReady(const core::ServiceName &service);

    /** Removes and returns the requests that can no longer meet their deadline. */
    std::vector<Ticket> removeExpired(core::TimePoint now);

    /** Removes and returns the requests whose deadline is after @p latest. */
    std::vector<Ticket> removeEndingAfter(core::TimePoint latest);

    /** Removes a request whose caller has disconnected. Returns whether it was queued. */
    bool cancel(Ticket ticket);

    /** Number of requests queued for @p service. While there are any, a new request must not overtake them. */
    std::size_t waitingCount(const core::ServiceName &service) const;

private:
    using Key = std::pair<core::TimePoint, Ticket>;

    struct Share {
        double weight = 1;
        /** Grows by 1 / weight with each dequeued request. The institution with the lowest value is scheduled next. */
        double virtualTime = 0;
        std::size_t waiting = 0;
    };
    struct ServiceQueue {
        core::InstitutionName institution;
        unsigned importance = 0;
        std::size_t limit = 0;
        std::set<Key> waiting;
        /** Number of dequeued requests; a service that was empty resumes from the lowest of its institution. */
        double virtualTime = 0;
        bool ready = true;
        std::uint64_t readyCount = 0;
        core::Duration expectedLatency{};
        /** Moving average of the time between two dequeues while further requests are queued. */
        std::optional<core::Duration> dequeueInterval;
        std::optional<core::TimePoint> lastDequeue;
    };

    core::Status check(const ServiceQueue &queue,
                       core::TimePoint deadline,
                       core::Duration expectedLatency,
                       core::TimePoint now) const;
    std::optional<Ticket> evictFor(const ServiceQueue &newcomer);
    ServiceQueue *findVictim();
    void insert(const core::ServiceName &name, ServiceQueue &queue, const Key &key);
    void remove(ServiceQueue &queue, const Key &key);
    std::pair<const core::ServiceName, ServiceQueue> *selectService();
    static void recordDequeue(ServiceQueue &queue, core::TimePoint now);

    const std::size_t m_hostLimit;
    mutable core::RankedMutex m_mutex{core::LockRank::Admission};
    Ticket m_nextTicket = 1;
    std::map<core::InstitutionName, Share> m_shares;
    std::map<core::ServiceName, ServiceQueue> m_services;
    std::unordered_map<Ticket, std::pair<core::ServiceName, core::TimePoint>> m_tickets;
    /** Virtual time of the institution scheduled last, before that dequeue. Idle institutions resume from it. */
    double m_systemVirtualTime = 0;
};

} // namespace pimentoshed::admission
