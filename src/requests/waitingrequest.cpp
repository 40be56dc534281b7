#include "requests/waitingrequest.h"

#include <algorithm>

namespace pimentoshed::requests
{

using core::ErrorCode;

namespace
{

/**
 * Divisor of a request's slack (objective minus usual processing time): this part of it is spent waiting for local
 * targets before remote ones are considered.
 */
constexpr int LocalWaitDivisor = 3;
/** Divisor of the time that a late request has left: for this part of it, the request takes only idle targets. */
constexpr int LatePatienceDivisor = 3;

} // namespace

WaitingRequest::WaitingRequest(core::TimePoint arrival)
    : m_arrival(arrival)
    , m_waitStart(arrival)
{
}

void WaitingRequest::setDeadline(core::TimePoint deadline, core::Duration routeDeadline)
{
    m_deadline = deadline;
    m_waitStart = deadline - routeDeadline;
}

void WaitingRequest::follow(core::Duration objective, bool idempotent)
{
    m_objective = objective;
    m_idempotent = idempotent;
}

core::TimePoint WaitingRequest::arrival() const
{
    return m_arrival;
}

core::TimePoint WaitingRequest::deadline() const
{
    return m_deadline;
}

core::TimePoint WaitingRequest::waitStart() const
{
    return m_waitStart;
}

core::Duration WaitingRequest::objective() const
{
    return m_objective;
}

bool WaitingRequest::isIdempotent() const
{
    return m_idempotent;
}

bool WaitingRequest::isObjectiveReachable(core::Duration processingTime) const
{
    return m_objective > core::Duration{} && processingTime < m_objective;
}

bool WaitingRequest::isLate(core::Duration processingTime, core::TimePoint now) const
{
    return isObjectiveReachable(processingTime) && now + processingTime > m_waitStart + m_objective;
}

core::Duration WaitingRequest::timeLeft(core::Duration processingTime, core::TimePoint now) const
{
    const bool useObjective = m_objective > core::Duration{} && !isLate(processingTime, now);
    return std::max((useObjective ? m_waitStart + m_objective : m_deadline) - now, core::Duration{1});
}

bool WaitingRequest::mayUseRemoteDomains(core::Duration processingTime, core::TimePoint now) const
{
    return !isObjectiveReachable(processingTime)
           || now - m_waitStart >= (m_objective - processingTime) / LocalWaitDivisor;
}

core::TimePoint WaitingRequest::queueDeadline(core::Duration processingTime) const
{
    return isObjectiveReachable(processingTime) ? std::min(m_deadline, m_waitStart + m_objective) : m_deadline;
}

core::TimePoint WaitingRequest::patienceEnd(core::TimePoint now) const
{
    return now + (m_deadline - now) / LatePatienceDivisor;
}

std::optional<core::Error> WaitingRequest::ended(const WaitSituation &situation) const
{
    if (situation.hasCallerLeft) {
        return core::Error{ErrorCode::CallerTooSlow, "the caller closed its connection"};
    }
    if (situation.hasConfigurationChanged) {
        return core::Error{ErrorCode::NoSuchService, "the configuration has changed"};
    }
    if (situation.now >= m_deadline) {
        return core::Error{ErrorCode::DeadlinePassed, "no target in time"};
    }
    const SendDuringStop send{m_idempotent, m_arrival, situation.now, m_deadline, situation.usualProcessingTime};
    if (situation.stop && !canEndBefore(*situation.stop, send)) {
        return core::Error{ErrorCode::Stopping, "this host may end before the request does"};
    }
    if (situation.pausedUntil && *situation.pausedUntil > situation.waitEnd.value_or(m_deadline)) {
        return core::Error{ErrorCode::NoTarget, "no target takes requests in time"};
    }
    return std::nullopt;
}

} // namespace pimentoshed::requests
