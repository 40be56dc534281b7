/**
 * @file
 * The follower: receives entries and snapshots from a leader.
 */
#include "consensus/replicaimpl.h"

#include <algorithm>

namespace pimentoshed::consensus
{

namespace
{

/** Whether the indices of the entries are consecutive and their terms neither decrease nor exceed the request's. */
bool isConsecutive(const AppendRequest &request)
{
    auto id = request.previous;
    for (const auto &entry : request.entries) {
        if (entry.id.index != id.index.next() || entry.id.term < id.term) {
            return false;
        }
        id = entry.id;
    }
    return id.term <= request.term;
}

} // namespace

void ReplicaImpl::handle(const MemberId &from, const AppendRequest &request, core::TimePoint now)
{
    if (!isConsecutive(request) || !acceptLeader(from, request.term, now)) {
        return;
    }
    const auto previous = request.previous;
    AppendReply reply{m_hardState.term, request.round, LogIndex(), std::nullopt};
    if (request.term < m_hardState.term) {
        send(from, reply, true);
        return;
    }
    if (previous.index >= m_log.snapshot().last.index && !m_log.contains(previous)) {
        reply.conflict = m_log.conflictAt(previous.index);
        send(from, reply, true);
        return;
    }
    if (!storeEntries(request)) {
        return;
    }
    reply.match = LogIndex(previous.index.value() + request.entries.size());
    commitUpTo(std::min(request.commit, reply.match));
    send(from, reply, true);
}

void ReplicaImpl::handle(const MemberId &from, const InstallSnapshotRequest &request, core::TimePoint now)
{
    if (!acceptLeader(from, request.term, now)) {
        return;
    }
    InstallSnapshotReply reply{m_hardState.term, request.round, LogIndex()};
    if (request.term == m_hardState.term) {
        const auto last = request.snapshot.last;
        if (last.index > m_commitIndex) {
            // Entries after the snapshot are kept only if this log holds the last entry of the snapshot.
            if (!m_log.contains(last)) {
                m_outbox.truncateFrom(last.index.next());
            }
            m_log.install(request.snapshot);
            m_outbox.install(request.snapshot);
            m_commitIndex = last.index;
        }
        reply.match = last.index;
    }
    send(from, reply, true);
}

/**
 * Whether to process or reply to a message that a leader sent in @p term. False for one that contradicts this member's
 * own leadership. Unless @p term is outdated, adopts it and becomes a follower of @p from.
 */
bool ReplicaImpl::acceptLeader(const MemberId &from, Term term, core::TimePoint now)
{
    if (term < m_hardState.term) {
        return true;
    }
    if (term == m_hardState.term && m_role == Role::Leader) {
        return false;
    }
    becomeFollower(term, from, now);
    m_lastLeaderContact = now;
    resetElectionDeadline(now);
    return true;
}

/** Stores the entries that the log lacks. Returns false if the request contradicts a committed entry. */
bool ReplicaImpl::storeEntries(const AppendRequest &request)
{
    for (const auto &entry : request.entries) {
        const auto index = entry.id.index;
        if (index <= m_log.snapshot().last.index || m_log.contains(entry.id)) {
            continue;
        }
        if (index <= m_commitIndex) {
            return false;
        }
        if (index <= m_log.last().index) {
            m_log.truncateFrom(index);
            m_outbox.truncateFrom(index);
        }
        m_log.append(entry);
        m_outbox.append(entry);
    }
    return true;
}

void ReplicaImpl::commitUpTo(LogIndex index)
{
    while (m_commitIndex < index) {
        m_commitIndex = m_commitIndex.next();
        m_outbox.addCommitted(m_log.at(m_commitIndex));
    }
}

} // namespace pimentoshed::consensus
