/**
 * @file
 * The leader: replication, commits, read requests, changes of members.
 */
#include "consensus/memberchange.h"
#include "consensus/replicaimpl.h"

#include <algorithm>

namespace pimentoshed::consensus
{

void ReplicaImpl::becomeLeader(core::TimePoint now)
{
    setRole(Role::Leader, m_self);
    m_progress = ProgressTracker();
    m_progress.updateMembers(m_log.members(), m_self, m_log.last().index.next(), now);
    m_termStart = m_log.last().index.next();
    m_progress.beginRound(now);
    m_nextHeartbeat = now + m_timing.heartbeatInterval;
    appendAsLeader(Entry(), now);
}

/** Steps down if there has been no contact with a quorum for longer than the election timeout. */
void ReplicaImpl::checkQuorum(core::TimePoint now)
{
    if (m_role != Role::Leader) {
        return;
    }
    if (now - m_progress.quorumContact(m_log.members(), leaderProgress(now)) > m_timing.electionTimeout) {
        becomeFollower(m_hardState.term, std::nullopt, now);
    }
}

void ReplicaImpl::handOver(core::TimePoint now)
{
    if (m_role != Role::Leader) {
        return;
    }
    if (const auto successor = m_progress.mostCompleteVoter(m_log.members())) {
        send(*successor, HandoverRequest{m_hardState.term}, false);
    }
    becomeFollower(m_hardState.term, std::nullopt, now);
}

core::Status ReplicaImpl::checkLeader(core::TimePoint now)
{
    if (isStopped()) {
        return core::Error{core::ErrorCode::SnapshotDamaged,
                           "the replicated state can't be restored; restart this host"};
    }
    checkQuorum(now);
    if (m_role == Role::Leader) {
        return {};
    }
    if (m_leader) {
        return core::Error{core::ErrorCode::NotLeader, m_leader->host.str()};
    }
    return core::Error{core::ErrorCode::NoQuorum, "no leader is known"};
}

EntryId ReplicaImpl::appendAsLeader(Entry entry, core::TimePoint now)
{
    entry.id = {m_log.last().index.next(), m_hardState.term};
    const auto id = entry.id;
    m_outbox.append(entry);
    m_log.append(std::move(entry));
    m_progress.updateMembers(m_log.members(), m_self, id.index, now);
    for (auto &[member, peer] : m_progress.peers()) {
        replicate(member, peer, now);
    }
    return id;
}

void ReplicaImpl::beginRound(core::TimePoint now)
{
    const auto round = m_progress.beginRound(now);
    m_nextHeartbeat = now + m_timing.heartbeatInterval;
    if (isTermCommitted()) {
        m_reads.beginRound(round, m_commitIndex);
    }
    for (auto &[member, peer] : m_progress.peers()) {
        sendHeartbeat(member, peer, now);
    }
}

/** Sends the entries that @p member lacks, as far as its replication mode and the limit of entries in flight allow. */
void ReplicaImpl::replicate(const MemberId &member, PeerProgress &peer, core::TimePoint now)
{
    while (peer.mode == ReplicationMode::Stream && peer.next <= m_log.last().index) {
        if (peer.next <= m_log.snapshot().last.index) {
            sendSnapshot(member, peer, now);
            return;
        }
        if (peer.next.value() - peer.match.value() > m_limits.entriesInFlight) {
            return;
        }
        sendAppend(member, peer);
    }
}

void ReplicaImpl::sendAppend(const MemberId &member, PeerProgress &peer)
{
    const auto previous = peer.next.previous();
    AppendRequest request{m_hardState.term, {previous, *m_log.termAt(previous)}, {}, m_commitIndex, m_progress.round()};
    request.entries = m_log.slice(peer.next, m_limits.entriesPerAppend, m_limits.bytesPerAppend);
    peer.sentCommitIndex = m_commitIndex;
    if (peer.mode == ReplicationMode::Stream) {
        peer.next = LogIndex(peer.next.value() + request.entries.size());
    }
    send(member, std::move(request), false);
}

void ReplicaImpl::sendSnapshot(const MemberId &member, PeerProgress &peer, core::TimePoint now)
{
    peer.mode = ReplicationMode::Snapshot;
    peer.snapshotSentAt = now;
    send(member, InstallSnapshotRequest{m_hardState.term, m_log.snapshot(), m_progress.round()}, false);
}

void ReplicaImpl::sendHeartbeat(const MemberId &member, PeerProgress &peer, core::TimePoint now)
{
    const bool retry = now - peer.snapshotSentAt >= m_timing.snapshotRetryInterval;
    if (peer.next <= m_log.snapshot().last.index) {
        if (peer.mode != ReplicationMode::Snapshot || retry) {
            sendSnapshot(member, peer, now);
            return;
        }
        // The snapshot is under way: an append without entries serves as the heartbeat.
        send(member,
             AppendRequest{m_hardState.term, m_log.snapshot().last, {}, m_commitIndex, m_progress.round()},
             false);
        return;
    }
    sendAppend(member, peer);
}

/** Sends a newer commit index to members that have acknowledged all entries, without waiting for the next heartbeat. */
void ReplicaImpl::sendCommitIndex()
{
    for (auto &[member, peer] : m_progress.peers()) {
        const bool isCaughtUp = peer.mode == ReplicationMode::Stream && peer.next == peer.match.next();
        if (isCaughtUp && peer.sentCommitIndex < m_commitIndex && peer.next > m_log.snapshot().last.index) {
            sendAppend(member, peer);
        }
    }
}

void ReplicaImpl::handle(const MemberId &from, const AppendReply &reply, core::TimePoint now)
{
    if (reply.term > m_hardState.term) {
        becomeFollower(reply.term, std::nullopt, now);
        return;
    }
    if (m_role != Role::Leader || reply.term < m_hardState.term) {
        return;
    }
    handleAcknowledgement(from, reply.round, reply.match, now);
    auto *peer = m_progress.find(from);
    if (m_role == Role::Leader && peer != nullptr && reply.conflict) {
        resolveConflict(from, *peer, *reply.conflict, now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const InstallSnapshotReply &reply, core::TimePoint now)
{
    if (reply.term > m_hardState.term) {
        becomeFollower(reply.term, std::nullopt, now);
    } else if (m_role == Role::Leader && reply.term == m_hardState.term) {
        handleAcknowledgement(from, reply.round, reply.match, now);
    }
}

void ReplicaImpl::handleAcknowledgement(const MemberId &from, Round round, LogIndex match, core::TimePoint now)
{
    auto *peer = m_progress.find(from);
    if (peer == nullptr || match > m_log.last().index) {
        return;
    }
    m_progress.recordAcknowledgement(*peer, round);
    if (match > peer->match) {
        peer->match = match;
        peer->next = std::max(peer->next, match.next());
        peer->mode = ReplicationMode::Stream;
    }
    replicate(from, *peer, now);
    confirmReads(now);
    advanceLeaderCommit(now);
}

/** Goes back in the log of @p from after a refused append. Conflicts of outdated requests are ignored. */
void ReplicaImpl::resolveConflict(const MemberId &from,
                                  PeerProgress &peer,
                                  const Conflict &conflict,
                                  core::TimePoint now)
{
    // Unless entries are streamed, only a refusal of the latest request counts.
    const bool isProbing = peer.mode != ReplicationMode::Stream;
    const bool isOutdated = conflict.previous <= peer.match || conflict.previous >= peer.next;
    if (isOutdated || (isProbing && conflict.previous != peer.next.previous())) {
        return;
    }
    const auto resume = std::min(conflict.previous, m_log.nextIndexAfter(conflict));
    peer.next = std::max(peer.match.next(), resume);
    if (peer.mode == ReplicationMode::Snapshot) {
        return;
    }
    peer.mode = ReplicationMode::Probe;
    sendHeartbeat(from, peer, now);
}

void ReplicaImpl::advanceLeaderCommit(core::TimePoint now)
{
    const auto index = m_progress.quorumMatch(m_log.members(), leaderProgress(now));
    // As in Raft, a quorum commits only entries of the current term; earlier entries are committed along with them.
    if (index > m_commitIndex && m_log.termAt(index) == m_hardState.term) {
        commitUpTo(index);
        confirmReads(now);
    }
    sendCommitIndex();
    continueMembersChange(now);
}

void ReplicaImpl::confirmReads(core::TimePoint now)
{
    if (m_reads.needsRound() && isTermCommitted()) {
        beginRound(now);
    }
    for (const auto &round : m_reads.takeConfirmed(m_progress.quorumRound(m_log.members(), m_self))) {
        for (const auto token : round.tokens) {
            m_outbox.addConfirmedRead({token, round.index});
        }
    }
    // Requests that waited for a round that has now ended get the next one.
    if (m_reads.needsRound() && isTermCommitted()) {
        beginRound(now);
    }
}

void ReplicaImpl::failReads(core::ErrorCode code)
{
    for (const auto token : m_reads.takeAll()) {
        m_outbox.addFailedRead({token, {code, "the read could not be confirmed: this host is no longer the leader"}});
    }
}

core::Result<EntryId> ReplicaImpl::changeMembers(const MembersChange &change, core::TimePoint now)
{
    if (auto status = checkLeader(now); !core::ok(status)) {
        return core::error(status);
    }
    if (!isTermCommitted() || m_log.membersIndex() > m_commitIndex) {
        return core::Error{core::ErrorCode::ChangeNotCommitted,
                           "the first entry of the term or an earlier step is not committed"};
    }
    auto first = firstStep(m_log.members(), change);
    if (!core::ok(first)) {
        return core::error(first);
    }
    Entry entry;
    entry.kind = EntryKind::Members;
    entry.members = core::value(first);
    return appendAsLeader(std::move(entry), now);
}

/** Appends the next step of a running change of members, or steps down if this member was removed. */
void ReplicaImpl::continueMembersChange(core::TimePoint now)
{
    const auto &members = m_log.members();
    if (!isTermCommitted() || m_log.membersIndex() > m_commitIndex) {
        return;
    }
    if (!members.voters.empty() && !members.isVoter(m_self)) {
        becomeFollower(m_hardState.term, std::nullopt, now);
        return;
    }
    if (members.isSettled()) {
        return;
    }
    MembersChangeStatus status;
    const auto durableIndexOf = [this](const MemberId &member) {
        const auto *peer = m_progress.find(member);
        return peer == nullptr ? m_outbox.durableIndex() : peer->match;
    };
    status.isJoiningCaughtUp = !members.joining || durableIndexOf(*members.joining) >= m_commitIndex;
    if (members.leaving) {
        const auto *peer = m_progress.find(*members.leaving);
        status.isLeavingReachable = peer == nullptr || now - peer->lastContact <= m_timing.electionTimeout;
    }
    if (auto step = nextStep(members, status)) {
        Entry entry;
        entry.kind = EntryKind::Members;
        entry.members = std::move(*step);
        appendAsLeader(std::move(entry), now);
    }
}

/** Whether an entry of the current term is committed. Only then is the commit index known to be the newest. */
bool ReplicaImpl::isTermCommitted() const
{
    return m_commitIndex >= m_termStart;
}

} // namespace pimentoshed::consensus
