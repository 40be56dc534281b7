#include "entry/followbackoff.h"

#include <algorithm>

namespace pimentoshed::entry
{

namespace
{

/** Longer than the time for which a control host holds a call without updates. */
constexpr auto FollowTimeout = std::chrono::milliseconds(1200);
constexpr auto RetryPause = std::chrono::milliseconds(100);
/** The same before the first response: control hosts that start together with this host refuse calls for a moment. */
constexpr auto StartRetryPause = std::chrono::milliseconds(20);
constexpr std::size_t MaxDoublings = 3;

unsigned doubled(std::size_t rounds)
{
    return 1U << std::min(rounds, MaxDoublings);
}

} // namespace

void FollowBackoff::recordFailure(FollowFailure failure, std::size_t controlHosts)
{
    m_controlHosts = std::max<std::size_t>(1, controlHosts);
    ++m_failures;
    m_timeouts = failure == FollowFailure::TimedOut ? m_timeouts + 1 : 0;
}

void FollowBackoff::recordResponse()
{
    m_hasResponse = true;
    m_failures = 0;
    m_timeouts = 0;
}

bool FollowBackoff::hasResponse() const
{
    return m_hasResponse;
}

core::Duration FollowBackoff::timeout() const
{
    return FollowTimeout * doubled(m_timeouts / m_controlHosts);
}

core::Duration FollowBackoff::pauseAfter(FollowFailure failure) const
{
    const auto factor = doubled(m_failures / m_controlHosts);
    if (failure == FollowFailure::Unconfirmed) {
        return RetryPause * factor;
    }
    return m_hasResponse ? RetryPause : StartRetryPause * factor;
}

} // namespace pimentoshed::entry
