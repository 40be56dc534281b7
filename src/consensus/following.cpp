/**
 * @file
 * Taking entries and snapshots from a leader.
 */
#include "consensus/replicaimpl.h"

#include <algorithm>

namespace pimentoshed::consensus
{

namespace
{

bool consecutive(const AppendRequest &request)
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
    if (!consecutive(request) || !acceptLeader(from, request.term, now)) {
        return;
    }
    const auto previous = request.previous;
    AppendReply reply{m_hardState.term, request.round, LogIndex(), std::nullopt};
    if (request.term < m_hardState.term) {
        send(from, reply, true);
        return;
    }
    if (previous.index >= m_log.snapshot().last.index && !m_log.holds(previous)) {
        reply.conflict = m_log.conflictAt(previous.index);
        send(from, reply, true);
        return;
    }
    if (!store(request)) {
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
        if (last.index > m_commit) {
            if (!m_log.holds(last)) {
                m_outbox.truncateFrom(last.index.next());
            }
            m_log.install(request.snapshot);
            m_outbox.install(request.snapshot);
            m_commit = last.index;
        }
        reply.match = last.index;
    }
    send(from, reply, true);
}

/** Whether the message may be acted on or answered; a newer term is taken over. */
bool ReplicaImpl::acceptLeader(const MemberId &from, Term term, core::TimePoint now)
{
    if (term < m_hardState.term) {
        return true;
    }
    if (term == m_hardState.term && m_role == Role::Leader) {
        return false;
    }
    becomeFollower(term, from, now);
    m_leaderHeard = now;
    resetElectionDeadline(now);
    return true;
}

/** False where the message contradicts what is committed. */
bool ReplicaImpl::store(const AppendRequest &request)
{
    for (const auto &entry : request.entries) {
        const auto index = entry.id.index;
        if (index <= m_log.snapshot().last.index || m_log.holds(entry.id)) {
            continue;
        }
        if (index <= m_commit) {
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
    while (m_commit < index) {
        m_commit = m_commit.next();
        m_outbox.commit(m_log.at(m_commit));
    }
}

} // namespace pimentoshed::consensus
