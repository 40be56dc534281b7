#include "consensus/engine.h"

#include <algorithm>

namespace pimentoshed::consensus
{

Engine::Engine(const Replica::Builder &builder, Log log, core::TimePoint now)
    : m_self(builder.m_self)
    , m_timing(builder.m_timing)
    , m_limits(builder.m_limits)
    , m_random(builder.m_random)
    , m_hardState(builder.m_hardState)
    , m_log(std::move(log))
    , m_outbox(m_hardState, m_log.last().index)
    , m_commit(m_log.snapshot().last.index)
{
    m_electionDeadline = now + firstElectionTimeout();
}

core::Duration Engine::firstElectionTimeout() const
{
    const auto &voters = m_log.members().voters;
    if (voters == std::vector{m_self}) {
        return {};
    }
    // Members that start together campaign one after the other.
    const auto position = std::find(voters.begin(), voters.end(), m_self) - voters.begin();
    return m_timing.firstElectionTimeout + m_timing.firstElectionStep * position;
}

void Engine::tick(core::TimePoint now)
{
    if (stopped()) {
        return;
    }
    checkQuorum(now);
    if (m_role == Role::Leader) {
        if (now >= m_nextHeartbeat) {
            beginRound(now);
        }
    } else if (now >= m_electionDeadline) {
        campaign(now);
    }
}

void Engine::receive(const Message &message, core::TimePoint now)
{
    if (stopped() || message.to != m_self || message.from == m_self) {
        return;
    }
    checkQuorum(now);
    std::visit(
        [this, &message, now](const auto &body) {
            handle(message.from, body, now);
        },
        message.body);
}

core::Result<EntryId> Engine::propose(std::string payload, core::TimePoint now)
{
    if (auto status = checkLeading(now); !core::ok(status)) {
        return core::error(status);
    }
    Entry entry;
    entry.kind = EntryKind::Change;
    entry.payload = std::move(payload);
    return appendOwn(std::move(entry), now);
}

core::Status Engine::confirmCurrent(ReadToken token, core::TimePoint now)
{
    if (auto status = checkLeading(now); !core::ok(status)) {
        return status;
    }
    m_reads.add(token);
    confirmReads(now);
    return {};
}

void Engine::persisted(BatchNumber batch, core::TimePoint now)
{
    if (stopped()) {
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

void Engine::storageFailed()
{
    failReads(core::ErrorCode::JournalWriteFailed);
    m_outbox.abandon();
    setRole(Role::Stopped, std::nullopt);
}

core::Status Engine::compact(LogIndex index, std::string payload)
{
    if (index > m_commit) {
        return core::Error{core::ErrorCode::SettingInvalid, "not committed: " + std::to_string(index.value())};
    }
    if (index <= m_log.snapshot().last.index || stopped()) {
        return {};
    }
    m_log.compact(index, std::move(payload));
    m_outbox.store(m_log.snapshot());
    return {};
}

Effects Engine::takeEffects()
{
    return m_outbox.take(m_log.last().index, m_hardState);
}

Inspection Engine::inspect() const
{
    Inspection inspection;
    inspection.self = m_self;
    inspection.role = m_role;
    inspection.term = m_hardState.term;
    inspection.leader = m_leader;
    inspection.commit = m_commit;
    inspection.last = m_log.last().index;
    inspection.durable = m_outbox.durableIndex();
    inspection.snapshot = m_log.snapshot().last.index;
    inspection.members = m_log.members();
    if (m_role == Role::Leader) {
        for (const auto &[member, peer] : m_progress.peers()) {
            inspection.progress.push_back({member, peer.match, peer.contact});
        }
    }
    inspection.pendingReads = m_reads.size();
    return inspection;
}

void Engine::send(const MemberId &to, MessageBody body, bool afterSync)
{
    m_outbox.send({m_self, to, std::move(body)}, afterSync);
}

OwnProgress Engine::own(core::TimePoint now) const
{
    return {m_self, m_outbox.durableIndex(), now};
}

} // namespace pimentoshed::consensus
