#include "consensus/replicaimpl.h"

#include <algorithm>

namespace pimentoshed::consensus
{

ReplicaImpl::ReplicaImpl(const Replica::Builder &builder, ReplicatedLog log, core::TimePoint now)
    : m_self(builder.m_self)
    , m_timing(builder.m_timing)
    , m_limits(builder.m_limits)
    , m_random(builder.m_random)
    , m_hardState(builder.m_hardState)
    , m_log(std::move(log))
    , m_outbox(m_hardState, m_log.last().index)
    , m_commitIndex(m_log.snapshot().last.index)
{
    m_electionDeadline = now + firstElectionTimeout();
}

core::Duration ReplicaImpl::firstElectionTimeout() const
{
    const auto &voters = m_log.members().voters;
    if (voters == std::vector{m_self}) {
        return {};
    }
    // Members that start together start their first elections one after the other.
    const auto position = std::find(voters.begin(), voters.end(), m_self) - voters.begin();
    return m_timing.firstElectionTimeout + m_timing.firstElectionStagger * position;
}

void ReplicaImpl::tick(core::TimePoint now)
{
    if (isStopped()) {
        return;
    }
    // A leader whose process was paused steps down before it does anything else.
    checkQuorum(now);
    if (m_role == Role::Leader) {
        if (now >= m_nextHeartbeat) {
            beginRound(now);
        }
    } else if (now >= m_electionDeadline) {
        startPreVote(now);
    }
}

void ReplicaImpl::receive(const Message &message, core::TimePoint now)
{
    if (isStopped() || message.to != m_self || message.from == m_self) {
        return;
    }
    checkQuorum(now);
    std::visit(
        [this, &message, now](const auto &body) {
            handle(message.from, body, now);
        },
        message.body);
}

core::Result<EntryId> ReplicaImpl::propose(std::string payload, core::TimePoint now)
{
    if (auto status = checkLeader(now); !core::ok(status)) {
        return core::error(status);
    }
    Entry entry;
    entry.kind = EntryKind::Change;
    entry.payload = std::move(payload);
    return appendAsLeader(std::move(entry), now);
}

core::Status ReplicaImpl::requestReadIndex(ReadToken token, core::TimePoint now)
{
    if (auto status = checkLeader(now); !core::ok(status)) {
        return status;
    }
    m_reads.add(token);
    confirmReads(now);
    return {};
}

void ReplicaImpl::persisted(BatchNumber batch, core::TimePoint now)
{
    if (isStopped()) {
        return;
    }
    m_outbox.persisted(batch);
    if (m_role == Role::Candidate) {
        countOwnVote(now);
    }
    if (m_role == Role::Leader) {
        advanceLeaderCommit(now);
    }
}

void ReplicaImpl::storageFailed()
{
    failReads(core::ErrorCode::JournalWriteFailed);
    m_outbox.discardUnsynced();
    setRole(Role::Stopped, std::nullopt);
}

core::Status ReplicaImpl::compact(LogIndex index, std::string payload)
{
    if (index > m_commitIndex) {
        return core::Error{core::ErrorCode::SettingInvalid,
                           "the index to compact up to is not committed: " + std::to_string(index.value())};
    }
    if (index <= m_log.snapshot().last.index || isStopped()) {
        return {};
    }
    m_log.compact(index, std::move(payload));
    m_outbox.store(m_log.snapshot());
    return {};
}

Effects ReplicaImpl::takeEffects()
{
    return m_outbox.takeBatch(m_log.last().index, m_hardState);
}

ReplicaStatus ReplicaImpl::status() const
{
    ReplicaStatus status;
    status.self = m_self;
    status.role = m_role;
    status.term = m_hardState.term;
    status.leader = m_leader;
    status.commit = m_commitIndex;
    status.last = m_log.last().index;
    status.durable = m_outbox.durableIndex();
    status.snapshot = m_log.snapshot().last.index;
    status.members = m_log.members();
    if (m_role == Role::Leader) {
        for (const auto &[member, peer] : m_progress.peers()) {
            status.progress.push_back({member, peer.match, peer.lastContact});
        }
    }
    status.pendingReads = m_reads.size();
    return status;
}

void ReplicaImpl::send(const MemberId &to, MessageBody body, bool afterSync)
{
    m_outbox.send({m_self, to, std::move(body)}, afterSync);
}

LeaderProgress ReplicaImpl::leaderProgress(core::TimePoint now) const
{
    return {m_self, m_outbox.durableIndex(), now};
}

} // namespace pimentoshed::consensus
