/**
 * @file
 * Requests that wait at an entry host for a target with room.
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

/** Names a waiting request. Tickets rise in the order of arrival. */
using Ticket = std::uint64_t;

/** What became of an offer. */
struct EnqueueResult {
    Ticket ticket = 0;
    /** A less important request that lost its place, and was not run. */
    std::optional<Ticket> evicted;
};

/** A request whose turn it is. Ends in an assignment or in one putBack. */
struct DequeuedRequest {
    Ticket ticket = 0;
    core::ServiceName service;
    core::TimePoint deadline{};
    /** Tells putBack whether room came meanwhile. */
    std::uint64_t readiness = 0;
};

/**
 * Within a service, the earliest deadline goes first. Between services that have room, institutions take turns by
 * weight, and the services of one institution evenly. A service holds its queueLimit at most, the host @c hostLimit:
 * beyond, the least important service of the institution that is most above its share loses its latest deadline. A
 * request that can't meet its deadline is refused at once. Thread-safe; rank Admission.
 */
class Queue
{
public:
    explicit Queue(std::size_t hostLimit);

    /** Takes institutions and services. Returns what waited for a service that is gone. */
    std::vector<Ticket> configure(const configuration::Configuration &configuration);

    /**
     * Lets a request wait that would take @p expectedLatency once it has a target. Errors, all of which mean that it
     * was not run: NoSuchService, DeadlinePassed, QueueFull.
     */
    core::Result<EnqueueResult> enqueue(const core::ServiceName &service,
                                        core::TimePoint deadline,
                                        core::Duration expectedLatency,
                                        core::TimePoint now);

    /** The request whose turn it is among the services that have room. */
    std::optional<DequeuedRequest> dequeue(core::TimePoint now);

    /**
     * Lets a request wait again whose turn found no target; its service has no room until told otherwise. Whether it
     * waits: not where the service is gone.
     */
    bool requeue(const DequeuedRequest &turn);

    /** Takes the word that @p service may have room: a request ended, or a target changed. */
    void markReady(const core::ServiceName &service);

    /** Takes out what can no longer meet its deadline. */
    std::vector<Ticket> removeExpired(core::TimePoint now);

    /** Takes out a request whose caller has gone. Whether it waited. */
    bool cancel(Ticket ticket);

    /** Requests that wait for @p service: while there are any, a new request must not overtake them. */
    std::size_t waitingCount(const core::ServiceName &service) const;

private:
    using Key = std::pair<core::TimePoint, Ticket>;

    struct Share {
        double weight = 1;
        /** Turns taken, over the weight: the one with the least goes next. */
        double served = 0;
        std::size_t waiting = 0;
    };
    struct ServiceQueue {
        core::InstitutionName institution;
        unsigned importance = 0;
        std::size_t limit = 0;
        std::set<Key> waiting;
        double served = 0;
        bool ready = true;
        std::uint64_t readiness = 0;
        core::Duration expectedLatency{};
        /** Usual time between two turns while others wait. */
        std::optional<core::Duration> turnInterval;
        std::optional<core::TimePoint> lastTurn;
    };

    core::Status check(const ServiceQueue &queue,
                       core::TimePoint deadline,
                       core::Duration expectedLatency,
                       core::TimePoint now) const;
    std::optional<Ticket> evictBelow(const ServiceQueue &newcomer);
    ServiceQueue *mostExpendable();
    void insert(const core::ServiceName &name, ServiceQueue &queue, const Key &key);
    void remove(ServiceQueue &queue, const Key &key);
    std::pair<const core::ServiceName, ServiceQueue> *choose();
    static void noteTurn(ServiceQueue &queue, core::TimePoint now);

    const std::size_t m_hostLimit;
    mutable core::RankedMutex m_mutex{core::LockRank::Admission};
    Ticket m_nextTicket = 1;
    std::map<core::InstitutionName, Share> m_shares;
    std::map<core::ServiceName, ServiceQueue> m_services;
    std::unordered_map<Ticket, std::pair<core::ServiceName, core::TimePoint>> m_tickets;
    /** What the shares and services that took the last turn had been served. */
    double m_shareClock = 0;
};

} // namespace pimentoshed::admission
