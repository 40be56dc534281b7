/**
 * @file
 * How long an entry host waits for control hosts that do not answer.
 */
#pragma once

#include "core/enumtable.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pimentoshed::entry
{

/** Why a follow call brought no confirmed reply. */
enum class FollowFailure : std::uint8_t {
    /** Nothing came within the time-out. */
    TimedOut,
    /** The connection was refused or closed, or the call ended with an error. */
    Refused,
    /** The control host answered that no quorum confirms it. */
    Unconfirmed,
};

inline constexpr std::array FollowFailureNames{
    core::EnumName<FollowFailure>{FollowFailure::TimedOut, "timed-out"},
    core::EnumName<FollowFailure>{FollowFailure::Refused, "refused"},
    core::EnumName<FollowFailure>{FollowFailure::Unconfirmed, "unconfirmed"},
};

/**
 * The time-out of follow calls and the pauses between them. The time-out doubles once every control host in a row has
 * timed out: the cause may then be a slow link. After any other failure a longer time-out would only prolong the wait
 * for a host that is down. The pause doubles with each round of failures before the first response, and while no quorum
 * confirms a control host. Not thread-safe.
 */
class FollowBackoff
{
public:
    /** Records a failed call, where @p controlHosts control hosts are called in turn. */
    void recordFailure(FollowFailure failure, std::size_t controlHosts);

    /** Records a response, which ends the backoff. */
    void recordResponse();

    /** Whether any control host has responded so far. */
    bool hasResponse() const;

    core::Duration timeout() const;
    /** Pause before the call after one that failed with @p failure. */
    core::Duration pauseAfter(FollowFailure failure) const;

private:
    std::size_t m_controlHosts = 1;
    /** Failures since the last response. */
    std::size_t m_failures = 0;
    /** The latest ones of them, as far as they timed out. */
    std::size_t m_timeouts = 0;
    bool m_hasResponse = false;
};

} // namespace pimentoshed::entry
