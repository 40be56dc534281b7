/**
 * @file
 * A request that waits for a target: its times, and what ends or moves it.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "requests/stoprule.h"

#include <optional>

namespace pimentoshed::requests
{

/** What a waiting request finds when it looks for a target. What is not looked at keeps its default. */
struct WaitSituation {
    core::TimePoint now{};
    /** Whether the caller has closed its connection. */
    bool hasCallerLeft = false;
    /** Whether the host's configuration is another one than the request follows. */
    bool hasConfigurationChanged = false;
    /** The stop of the host, if it is stopping. */
    std::optional<HostStop> stop;
    /** The usual processing time of the request's service; zero if unknown. */
    core::Duration usualProcessingTime{};
    /** Until when all targets of the service want no requests, if they do. */
    std::optional<core::TimePoint> pausedUntil;
    /** Until when the request may wait for a target, if that is limited. */
    std::optional<core::TimePoint> waitEnd;
};

/**
 * A request that needs a target. One rule, ended(), decides at every point of the wait whether it goes on. Not
 * thread-safe: it belongs to the coroutine of its request.
 */
class WaitingRequest
{
public:
    explicit WaitingRequest(core::TimePoint arrival);

    /**
     * Sets when the request must have ended. A caller that gives less time than @p routeDeadline, the route's, is taken
     * to have spent the difference on earlier attempts, so that its retry isn't treated like a new request.
     */
    void setDeadline(core::TimePoint deadline, core::Duration routeDeadline);

    /** Sets what the configuration says about the request. @p objective is the route's; zero if it has none. */
    void follow(core::Duration objective, bool idempotent);

    core::TimePoint arrival() const;
    core::TimePoint deadline() const;
    /** When the caller began to wait, earlier attempts of the caller included. */
    core::TimePoint waitStart() const;
    core::Duration objective() const;
    bool isIdempotent() const;

    /** Whether the request could meet its objective in @p processingTime if it never waited. */
    bool isObjectiveReachable(core::Duration processingTime) const;

    /** Whether the request can't meet its objective any more. */
    bool isLate(core::Duration processingTime, core::TimePoint now) const;

    /**
     * The time left for a response: until the objective, or until the deadline if there is no objective or it can't be
     * met any more. Greater than zero.
     */
    core::Duration timeLeft(core::Duration processingTime, core::TimePoint now) const;

    /**
     * Whether the request may go to another failure domain: only after it has waited for local targets for a part of
     * its slack, because their load changes within a fraction of that time.
     */
    bool mayUseRemoteDomains(core::Duration processingTime, core::TimePoint now) const;

    /**
     * The time by which the request should be answered; once that can't be met, the request leaves the queue. It is the
     * objective if a response without waiting could meet it, else the deadline.
     */
    core::TimePoint queueDeadline(core::Duration processingTime) const;

    /** Until when a late request takes only idle targets, so that those that can be in time go first on every host. */
    core::TimePoint patienceEnd(core::TimePoint now) const;

    /**
     * What ends the wait: CallerTooSlow (the caller has left), DeadlinePassed, Stopping (the host may end before the
     * request), NoTarget (no target takes requests while it may wait); or moves the request: NoSuchService (it must
     * follow another configuration). The first that applies, in this order: caller, configuration, deadline, stop,
     * targets. Nothing if the request waits on.
     */
    std::optional<core::Error> ended(const WaitSituation &situation) const;

private:
    core::TimePoint m_arrival;
    core::TimePoint m_deadline = core::TimePoint::max();
    core::TimePoint m_waitStart;
    core::Duration m_objective{};
    bool m_idempotent = false;
};

} // namespace pimentoshed::requests
