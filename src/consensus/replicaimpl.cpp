#include "consensus/replicaimpl.h"

#include <algorithm>
#include <limits>
#include <type_traits>

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
        if (m_isStorageFailed) {
            becomeFollower(m_hardState.term, std::nullopt, now);
            resetElectionDeadline(now);
        } else {
            startPreVote(now);
        }
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
            // Without storage, only what a leader sends is of use: this member has no vote and can't campaign.
            using Body = std::decay_t<decltype(body)>;
            constexpr bool IsFromLeader =
                std::is_same_v<Body, AppendRequest> || std::is_same_v<Body, InstallSnapshotRequest>;
            if (IsFromLeader || !m_isStorageFailed) {
                handle(message.from, body, now);
            }
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

void ReplicaImpl::storageFailed(core::TimePoint now)
{
    if (isStopped() || m_isStorageFailed) {
        return;
    }
    m_isStorageFailed = true;
    m_outbox.suspend();
    handOver(now);
    becomeFollower(m_hardState.term, m_role == Role::Follower ? m_leader : std::nullopt, now);
}

StorageImage ReplicaImpl::storageImage() const
{
    StorageImage image;
    image.batch = m_outbox.lastTaken();
    image.hardState = m_hardState;
    const auto &snapshot = m_log.snapshot();
    if (snapshot.last.index == LogIndex()) {
        image.initialMembers = snapshot.members;
    } else {
        image.snapshot = snapshot;
    }
    image.entries = m_log.slice(
        snapshot.last.index.next(), std::numeric_limits<std::size_t>::max(), std::numeric_limits<std::size_t>::max());
    return image;
}

void ReplicaImpl::storageRestored(BatchNumber batch, core::TimePoint now)
{
    m_isStorageFailed = false;
    m_outbox.resume();
    m_outbox.persisted(batch);
    resetElectionDeadline(now);
}

void ReplicaImpl::stop()
{
    failReads(core::ErrorCode::JournalWriteFailed);
    m_outbox.suspend();
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
        status.isTermCommitted = isTermCommitted();
        status.quorumContact = m_progress.quorumContact(m_log.members(), leaderProgress(core::TimePoint::max()));
    }
    status.pendingReads = m_reads.size();
    status.isStorageFailed = m_isStorageFailed;
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
