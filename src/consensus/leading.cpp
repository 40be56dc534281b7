/**
 * @file
 * Leading a term: replication, commits, confirmed reads, changes of members.
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
    m_progress.follow(m_log.members(), m_self, m_log.last().index.next(), now);
    m_termStart = m_log.last().index.next();
    m_progress.beginRound(now);
    m_nextHeartbeat = now + m_timing.heartbeatInterval;
    appendOwn(Entry(), now);
}

void ReplicaImpl::checkQuorum(core::TimePoint now)
{
    if (m_role != Role::Leader) {
        return;
    }
    if (now - m_progress.quorumContact(m_log.members(), own(now)) > m_timing.electionTimeout) {
        becomeFollower(m_hardState.term, std::nullopt, now);
    }
}

core::Status ReplicaImpl::checkLeading(core::TimePoint now)
{
    if (stopped()) {
        return core::Error{core::ErrorCode::JournalWriteFailed, "storage failed; restart this host"};
    }
    checkQuorum(now);
    if (m_role == Role::Leader) {
        return {};
    }
    if (m_leader) {
        return core::Error{core::ErrorCode::NotLeader, m_leader->host.str()};
    }
    return core::Error{core::ErrorCode::NoQuorum, "no leader"};
}

EntryId ReplicaImpl::appendOwn(Entry entry, core::TimePoint now)
{
    entry.id = {m_log.last().index.next(), m_hardState.term};
    const auto id = entry.id;
    m_outbox.append(entry);
    m_log.append(std::move(entry));
    m_progress.follow(m_log.members(), m_self, id.index, now);
    for (auto &[member, peer] : m_progress.peers()) {
        replicate(member, peer, now);
    }
    return id;
}

void ReplicaImpl::beginRound(core::TimePoint now)
{
    const auto round = m_progress.beginRound(now);
    m_nextHeartbeat = now + m_timing.heartbeatInterval;
    if (termCommitted()) {
        m_reads.begin(round, m_commit);
    }
    for (auto &[member, peer] : m_progress.peers()) {
        sendHeartbeat(member, peer, now);
    }
}

/** Sends what the member lacks, as far as its way of replication lets it go ahead. */
void ReplicaImpl::replicate(const MemberId &member, PeerProgress &peer, core::TimePoint now)
{
    while (peer.replication == ReplicationMode::Stream && peer.next <= m_log.last().index) {
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
    AppendRequest request{m_hardState.term, {previous, *m_log.termAt(previous)}, {}, m_commit, m_progress.round()};
    request.entries = m_log.slice(peer.next, m_limits.entriesPerAppend, m_limits.bytesPerAppend);
    peer.sentCommit = m_commit;
    if (peer.replication == ReplicationMode::Stream) {
        peer.next = LogIndex(peer.next.value() + request.entries.size());
    }
    send(member, std::move(request), false);
}

void ReplicaImpl::sendSnapshot(const MemberId &member, PeerProgress &peer, core::TimePoint now)
{
    peer.replication = ReplicationMode::Snapshot;
    peer.snapshotSent = now;
    send(member, InstallSnapshotRequest{m_hardState.term, m_log.snapshot(), m_progress.round()}, false);
}

void ReplicaImpl::sendHeartbeat(const MemberId &member, PeerProgress &peer, core::TimePoint now)
{
    const bool retry = now - peer.snapshotSent >= m_timing.snapshotRetryInterval;
    if (peer.next <= m_log.snapshot().last.index) {
        if (peer.replication != ReplicationMode::Snapshot || retry) {
            sendSnapshot(member, peer, now);
            return;
        }
        send(member, AppendRequest{m_hardState.term, m_log.snapshot().last, {}, m_commit, m_progress.round()}, false);
        return;
    }
    sendAppend(member, peer);
}

/** Tells members that hold everything sent to them of a newer commit index, without waiting for a heartbeat. */
void ReplicaImpl::announceCommit()
{
    for (auto &[member, peer] : m_progress.peers()) {
        const bool idle = peer.replication == ReplicationMode::Stream && peer.next == peer.match.next();
        if (idle && peer.sentCommit < m_commit && peer.next > m_log.snapshot().last.index) {
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
    acknowledged(from, reply.round, reply.match, now);
    auto *peer = m_progress.find(from);
    if (m_role == Role::Leader && peer != nullptr && reply.conflict) {
        resolve(from, *peer, *reply.conflict, now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const InstallSnapshotReply &reply, core::TimePoint now)
{
    if (reply.term > m_hardState.term) {
        becomeFollower(reply.term, std::nullopt, now);
    } else if (m_role == Role::Leader && reply.term == m_hardState.term) {
        acknowledged(from, reply.round, reply.match, now);
    }
}

void ReplicaImpl::acknowledged(const MemberId &from, Round round, LogIndex match, core::TimePoint now)
{
    auto *peer = m_progress.find(from);
    if (peer == nullptr || match > m_log.last().index) {
        return;
    }
    m_progress.acknowledge(*peer, round);
    if (match > peer->match) {
        peer->match = match;
        peer->next = std::max(peer->next, match.next());
        peer->replication = ReplicationMode::Stream;
    }
    replicate(from, *peer, now);
    confirmReads(now);
    advanceLeaderCommit(now);
}

void ReplicaImpl::resolve(const MemberId &from, PeerProgress &peer, const Conflict &conflict, core::TimePoint now)
{
    const bool probing = peer.replication != ReplicationMode::Stream;
    const bool outdated = conflict.previous <= peer.match || conflict.previous >= peer.next;
    if (outdated || (probing && conflict.previous != peer.next.previous())) {
        return;
    }
    const auto resume = std::min(conflict.previous, m_log.resumeAfter(conflict));
    peer.next = std::max(peer.match.next(), resume);
    if (peer.replication == ReplicationMode::Snapshot) {
        return;
    }
    peer.replication = ReplicationMode::Probe;
    sendHeartbeat(from, peer, now);
}

void ReplicaImpl::advanceLeaderCommit(core::TimePoint now)
{
    const auto index = m_progress.quorumMatch(m_log.members(), own(now));
    if (index > m_commit && m_log.termAt(index) == m_hardState.term) {
        commitUpTo(index);
        confirmReads(now);
    }
    announceCommit();
    continueMembersChange(now);
}

void ReplicaImpl::confirmReads(core::TimePoint now)
{
    if (m_reads.wantsRound() && termCommitted()) {
        beginRound(now);
    }
    for (const auto &round : m_reads.confirm(m_progress.quorumRound(m_log.members(), m_self))) {
        for (const auto token : round.tokens) {
            m_outbox.confirm({token, round.index});
        }
    }
    if (m_reads.wantsRound() && termCommitted()) {
        beginRound(now);
    }
}

void ReplicaImpl::failReads(core::ErrorCode code)
{
    for (const auto token : m_reads.clear()) {
        m_outbox.fail({token, {code, "no longer the leader"}});
    }
}

core::Result<EntryId> ReplicaImpl::changeMembers(const MembersChange &change, core::TimePoint now)
{
    if (auto status = checkLeading(now); !core::ok(status)) {
        return core::error(status);
    }
    if (!termCommitted() || m_log.membersIndex() > m_commit) {
        return core::Error{core::ErrorCode::ChangeNotCommitted, "an earlier step is not committed"};
    }
    auto first = firstStep(m_log.members(), change);
    if (!core::ok(first)) {
        return core::error(first);
    }
    Entry entry;
    entry.kind = EntryKind::Members;
    entry.members = core::value(first);
    return appendOwn(std::move(entry), now);
}

void ReplicaImpl::continueMembersChange(core::TimePoint now)
{
    const auto &members = m_log.members();
    if (!termCommitted() || m_log.membersIndex() > m_commit) {
        return;
    }
    if (!members.voters.empty() && !members.isVoter(m_self)) {
        becomeFollower(m_hardState.term, std::nullopt, now);
        return;
    }
    if (members.isSettled()) {
        return;
    }
    MembersChangeStatus outlook;
    const auto holds = [this](const MemberId &member) {
        const auto *peer = m_progress.find(member);
        return peer == nullptr ? m_outbox.durableIndex() : peer->match;
    };
    outlook.joiningHoldsAll = !members.joining || holds(*members.joining) >= m_commit;
    if (members.leaving) {
        const auto *peer = m_progress.find(*members.leaving);
        outlook.leavingAlive = peer == nullptr || now - peer->contact <= m_timing.electionTimeout;
    }
    if (auto step = nextStep(members, outlook)) {
        Entry entry;
        entry.kind = EntryKind::Members;
        entry.members = std::move(*step);
        appendOwn(std::move(entry), now);
    }
}

/** Whether an entry of the present term is committed: only then is the commit index known to be the newest. */
bool ReplicaImpl::termCommitted() const
{
    return m_commit >= m_termStart;
}

} // namespace pimentoshed::consensus
