/**
 * @file
 * What is learnt about the full targets of one service: how they treat requests, and how many hosts send at once.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/time.h"
#include "routing/loadreport.h"

#include <array>
#include <cstdint>
#include <optional>

namespace pimentoshed::routing
{

/** What a target of a service does with a request that it can't queue, as far as this host has seen. */
enum class FullBehaviour : std::uint8_t {
    /** It answers or resets the connection, or no request has reached a full target. */
    Answers,
    /** It never answers, nor any later request on that connection. */
    Hangs,
};

inline constexpr std::array FullBehaviourNames{
    core::EnumName<FullBehaviour>{FullBehaviour::Answers, "answers"},
    core::EnumName<FullBehaviour>{FullBehaviour::Hangs, "hangs"},
};

/**
 * A service counts as one whose full targets hang for a while after an attempt at a target that may have been full got
 * no sign, and for longer after a second one at a different target. Hosts that probe a target at the same time see the
 * same free slot. So each of them sends only with a probability, which falls with the requests that reports show as
 * waiting: hosts send only to targets with a free slot, so what waits was sent by several hosts at once (as in slotted
 * ALOHA with stabilization by observed collisions; Rivest, 1987). Not thread-safe.
 */
class FullTargetRule
{
public:
    /** Records that a target gave no sign for @p limit, after which its service's requests are usually answered. */
    void recordSilence(const core::TargetId &id, core::TimePoint now);

    /** Records a load report of a target at which @p ownInFlight requests of this host are in progress. */
    void recordReport(const LoadReport &report, unsigned ownInFlight);

    FullBehaviour behaviour(core::TimePoint now) const;

    /** Whether the service's targets report their load, without which a full target can't be told from a slow one. */
    bool hasReports() const
    {
        return m_hasReports;
    }

    /** The most requests that a target has reported as waiting: a lower bound of the places in its queue. */
    unsigned queuePlaces() const
    {
        return m_queuePlaces;
    }

    /**
     * Requests of other hosts that may have reached a target within @p age: its usual rate of requests, from the load
     * by others that reports show and the mean @p latency (Little's law), times a factor for targets with much room.
     */
    double arrivalsWithin(core::Duration age, core::Duration latency) const;

    /** Requests of other hosts that targets usually have, by their reports. */
    double usualLoadByOthers() const
    {
        return m_loadByOthers;
    }

    /** The probability with which this host sends a request to a target that has @p room free slots and places. */
    double sendProbability(double room) const;

private:
    std::optional<core::TargetId> m_silentTarget;
    core::TimePoint m_hangsUntil{};
    bool m_hasReports = false;
    unsigned m_queuePlaces = 0;
    double m_loadByOthers = 0;
    double m_waiting = 0;
};

} // namespace pimentoshed::routing
