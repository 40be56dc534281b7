/**
 * @file
 * When requests get a second attempt beside a slow first one.
 */
#pragma once

#include "core/rankedmutex.h"
#include "requests/hedge.h"
#include "requests/responsetimes.h"
#include "requests/retrypolicy.h"

#include <unordered_map>

namespace pimentoshed::requests
{

/**
 * Allows a second attempt of an idempotent request once its response is later than responses of its route usually are,
 * while the service has room and the budgets hold enough. A service that ran short of room must have more of it than
 * when it ran short before hedges go on. Thread-safe; lock rank Requests.
 */
class HedgePolicy
{
public:
    /** @p use is called without the mutex. @p budgets must outlive the policy. */
    HedgePolicy(RetryBudgets &budgets, ServiceUseHook use);

    /** Forgets the routes and services that @p configuration lacks. */
    void configure(const configuration::Configuration &configuration);

    /**
     * How long to wait for the response to @p candidate before a second attempt: the time within which responses of the
     * route usually come. Nothing if there must be none: the service allows no hedges, the request may run once only or
     * has no attempt left, the time left is less than a second response would usually take, or too few responses were
     * seen lately.
     */
    std::optional<core::Duration> delay(const HedgeCandidate &candidate, core::TimePoint now) const;

    /** Whether a second attempt may be made now. If so, the service's budgets are charged for it. */
    bool spend(const HedgeCandidate &candidate, core::TimePoint now);

    /** Takes back a charge for an attempt that was not made. */
    void giveBack(const configuration::Service &service);

    /** Records the time after which an attempt was answered, or given up because another one was. */
    void record(const configuration::Route &route, core::Duration duration, core::TimePoint now);

    /** Records that a target of @p service had no room for a request that this host sent there. */
    void recordShed(const core::ServiceName &service, core::TimePoint now);

private:
    struct Room {
        bool isShort = false;
        /** When a target last had no room for a request. */
        core::TimePoint shedAt{};
    };

    bool hasRoom(const core::ServiceName &service, core::TimePoint now);

    RetryBudgets &m_budgets;
    const ServiceUseHook m_use;
    mutable core::RankedMutex m_mutex{core::LockRank::Requests};
    std::unordered_map<core::RouteName, ResponseTimes> m_responseTimes;
    std::unordered_map<core::ServiceName, Room> m_rooms;
};

} // namespace pimentoshed::requests
