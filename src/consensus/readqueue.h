/**
 * @file
 * Requests for a confirmation that the state is current.
 */
#pragma once

#include "consensus/types.h"

#include <optional>
#include <vector>

namespace pimentoshed::consensus
{

/** Requests share rounds: those that come while a round is under way wait for the next one. */
class ReadQueue
{
public:
    /** Requests that one round confirmed, and the commit index of its beginning. */
    struct Confirmed {
        std::vector<ReadToken> tokens;
        LogIndex index;
    };

    void add(ReadToken token);
    /** Whether a round should begin for what waits. */
    bool wantsRound() const;
    /** @p round begins now, at @p commit; it takes along what waits. */
    void begin(Round round, LogIndex commit);
    /** What rounds up to @p acknowledged have confirmed. */
    std::vector<Confirmed> confirm(Round acknowledged);
    /** Everything that is not confirmed. */
    std::vector<ReadToken> clear();
    std::size_t size() const;

private:
    struct UnderWay {
        Round round;
        Confirmed reads;
    };

    std::vector<ReadToken> m_waiting;
    std::vector<UnderWay> m_underWay;
};

} // namespace pimentoshed::consensus
