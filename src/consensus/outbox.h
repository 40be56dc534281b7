/**
 * @file
 * Collects the effects of a replica into batches and tracks which batches are durable.
 */
#pragma once

#include "consensus/effects.h"

#include <deque>

namespace pimentoshed::consensus
{

/** The batch that is being collected, and the log and hard state of each batch that is not yet durable. */
class Outbox
{
public:
    /** @p durable is the hard state, and @p last the last index of the log, as read from disk. */
    Outbox(HardState durable, LogIndex last);

    void store(const HardState &state);
    void append(const Entry &entry);
    void truncateFrom(LogIndex index);
    void store(const Snapshot &snapshot);
    /** Stores a snapshot that was received from a leader, and replaces the replicated state by it. */
    void install(const Snapshot &snapshot);
    void send(Message message, bool afterSync);
    void addCommitted(const Entry &entry);
    void addConfirmedRead(const ReadConfirmed &read);
    void addFailedRead(const ReadFailed &read);
    void addRoleChange(const RoleChange &change);

    /** Ends the current batch and returns it. The log now ends at @p last, and the hard state is @p state. */
    Effects takeBatch(LogIndex last, const HardState &state);
    /** Marks every batch up to @p batch as durable; batches that were not taken are ignored. */
    void persisted(BatchNumber batch);
    /** Drops all messages that wait for a sync, and those that are added until resume(). */
    void suspend();
    void resume();

    /** Returns the number of the last batch that was taken. */
    BatchNumber lastTaken() const
    {
        return m_effects.batch.previous();
    }

    /** Returns the index up to which the log is durable. */
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
    bool m_isSuspended = false;
};

} // namespace pimentoshed::consensus
