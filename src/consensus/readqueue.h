/**
 * @file
 * The queue of requests to confirm that the state is current: Raft's ReadIndex.
 */
#pragma once

#include "consensus/types.h"

#include <optional>
#include <vector>

namespace pimentoshed::consensus
{

/**
 * Read requests of a leader. A heartbeat round that a quorum acknowledges confirms all requests that were queued when
 * it began; requests that arrive while a round is under way wait for the next one.
 */
class ReadQueue
{
public:
    /** The requests that one round confirms, and the commit index when it began. */
    struct ConfirmedReads {
        std::vector<ReadToken> tokens;
        LogIndex index;
    };

    void add(ReadToken token);
    /** Whether a round should begin: requests are waiting and no round is under way. */
    bool needsRound() const;
    /** Assigns the waiting requests to @p round, which begins now at commit index @p commit. */
    void beginRound(Round round, LogIndex commit);
    /** Removes and returns the requests of every round up to @p acknowledged. */
    std::vector<ConfirmedReads> takeConfirmed(Round acknowledged);
    /** Removes and returns all requests that are not confirmed. */
    std::vector<ReadToken> takeAll();
    /** Returns the number of requests that are not confirmed. */
    std::size_t size() const;

private:
    struct PendingRound {
        Round round;
        ConfirmedReads reads;
    };

    std::vector<ReadToken> m_waiting;
    std::vector<PendingRound> m_pendingRounds;
};

} // namespace pimentoshed::consensus
