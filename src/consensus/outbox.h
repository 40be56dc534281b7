/**
 * @file
 * Gathers the effects of a replica into batches, and knows which of them are durable.
 */
#pragma once

#include "consensus/effects.h"

#include <deque>

namespace pimentoshed::consensus
{

/** One batch under way, and what the batches that are not yet durable hold. */
class Outbox
{
public:
    /** @p durable and @p last are what was read from disk. */
    Outbox(HardState durable, LogIndex last);

    void store(const HardState &state);
    void append(const Entry &entry);
    void truncateFrom(LogIndex index);
    void store(const Snapshot &snapshot);
    /** Stores a snapshot that came from a leader and replaces the replicated state by it. */
    void install(const Snapshot &snapshot);
    void send(Message message, bool afterSync);
    void commit(const Entry &entry);
    void confirm(const ReadConfirmed &read);
    void fail(const ReadFailed &read);
    void note(const RoleChange &change);

    /** Ends the batch; the log ends at @p last and the hard state is @p state. */
    Effects take(LogIndex last, const HardState &state);
    /** Every batch up to @p batch is durable; one that was never taken is ignored. */
    void persisted(BatchNumber batch);
    /** Nothing more is to be stored, nor sent that depends on it. */
    void abandon();

    /** The log up to here is durable. */
    LogIndex durableIndex() const
    {
        return m_durableIndex;
    }
    const HardState &durableState() const
    {
        return m_durableState;
    }

private:
    /** A batch that was taken and is not yet durable. */
    struct Pending {
        BatchNumber batch;
        LogIndex last;
        HardState state;
    };

    Effects m_effects;
    std::deque<Pending> m_pending;
    LogIndex m_durableIndex;
    HardState m_durableState;
};

} // namespace pimentoshed::consensus
