/**
 * @file
 * The log of one member in memory: its latest snapshot and the entries after it.
 */
#pragma once

#include "consensus/messages.h"
#include "consensus/types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace pimentoshed::consensus
{

/** A snapshot, the consecutive entries after it, and the members that are in force at each index. */
class ReplicatedLog
{
public:
    /** Creates a log without entries on top of @p snapshot, whose index may be 0. */
    explicit ReplicatedLog(Snapshot snapshot);

    const Snapshot &snapshot() const
    {
        return m_snapshot;
    }
    EntryId last() const;
    /** Returns the entry at @p index, which must be above the snapshot's index and at most the last index. */
    const Entry &at(LogIndex index) const;
    /** Returns the term at @p index, or nothing if that is neither the snapshot's last index nor that of an entry. */
    std::optional<Term> termAt(LogIndex index) const;
    /** Whether @p id is the last entry of the snapshot or one of the entries after it. */
    bool contains(const EntryId &id) const;
    /** Whether a log that ends with @p other is at least as up-to-date as this one: Raft's condition for a vote. */
    bool isCandidateUpToDate(const EntryId &other) const;

    /** Returns the members in force: those of the newest Members entry, committed or not, or else of the snapshot. */
    const Members &members() const;
    /** Returns the index of the entry or snapshot that members() comes from. */
    LogIndex membersIndex() const;

    /**
     * Returns the entries from @p from on, as many as fit within the limits. The first entry is returned even if it
     * exceeds @p maxBytes.
     */
    std::vector<Entry> slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const;

    /** Returns why the leader's entry at @p previous does not match. Requires that contains() is false for it. */
    Conflict conflictAt(LogIndex previous) const;
    /** Returns the next index to send to a member that replied with @p conflict. This log is that of the leader. */
    LogIndex nextIndexAfter(const Conflict &conflict) const;

    void append(Entry entry);
    void truncateFrom(LogIndex index);
    /** Replaces the entries up to @p index by a snapshot with @p payload as the replicated state. */
    void compact(LogIndex index, std::string payload);
    /**
     * Replaces everything up to the index of @p snapshot. Later entries are kept only if the log holds the last entry
     * of the snapshot.
     */
    void install(Snapshot snapshot);

private:
    std::size_t offset(LogIndex index) const;
    const Members &membersAt(LogIndex index) const;
    void dropUpTo(LogIndex index);

    Snapshot m_snapshot;
    std::deque<Entry> m_entries;
    /** The members of the snapshot, then those of each Members entry, each with the index where they begin. */
    std::deque<std::pair<LogIndex, Members>> m_members;
};

} // namespace pimentoshed::consensus
