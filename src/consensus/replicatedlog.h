/**
 * @file
 * The entries that a member holds in memory, on top of its snapshot.
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

/** Consecutive entries after a snapshot, and the members that each position gives. */
class ReplicatedLog
{
public:
    /** An empty log on top of @p snapshot, whose index may be 0. */
    explicit ReplicatedLog(Snapshot snapshot);

    const Snapshot &snapshot() const
    {
        return m_snapshot;
    }
    EntryId last() const;
    /** @p index must be above the snapshot's and at most the last. */
    const Entry &at(LogIndex index) const;
    /** The term at @p index, where that is the snapshot's last or a held entry. */
    std::optional<Term> termAt(LogIndex index) const;
    bool holds(const EntryId &id) const;
    /** Whether a log that ends with @p other is at least as up to date as this one. */
    bool isCoveredBy(const EntryId &other) const;

    /** The members in force: those of the newest entry that names some, committed or not. */
    const Members &members() const;
    /** The index that members() is from. */
    LogIndex membersIndex() const;

    /** Entries from @p from on, at least one if there is any, within the limits. */
    std::vector<Entry> slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const;

    /** Why @p previous does not match; only where holds() is false. */
    Conflict conflictAt(LogIndex previous) const;
    /** Where a leader with this log should go on after @p conflict. */
    LogIndex resumeAfter(const Conflict &conflict) const;

    void append(Entry entry);
    void truncateFrom(LogIndex index);
    /** Drops the entries up to @p index, which stands for @p payload from now on. */
    void compact(LogIndex index, std::string payload);
    /** Replaces everything up to the snapshot's index; keeps what follows only where the log matches it. */
    void install(Snapshot snapshot);

private:
    std::size_t offset(LogIndex index) const;
    const Members &membersAt(LogIndex index) const;
    void dropUpTo(LogIndex index);

    Snapshot m_snapshot;
    std::deque<Entry> m_entries;
    /** The snapshot's members, then those of each Members entry. */
    std::deque<std::pair<LogIndex, Members>> m_members;
};

} // namespace pimentoshed::consensus
