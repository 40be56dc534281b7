#include "consensus/replica.h"

#include "consensus/replicaimpl.h"

#include <utility>

namespace pimentoshed::consensus
{

namespace
{

core::Status checkSettings(const MemberId &self, const Timing &timing, const Limits &limits, bool hasRandom)
{
    const auto invalid = [](const char *detail) {
        return core::Error{core::ErrorCode::SettingInvalid, detail};
    };
    if (self.host.empty() || self.disk.empty()) {
        return invalid("a member needs a host and a disk id");
    }
    if (timing.heartbeatInterval.count() <= 0 || timing.electionTimeout < 2 * timing.heartbeatInterval) {
        return invalid("the election timeout must be at least twice the heartbeat interval");
    }
    if (timing.campaignTimeout.count() <= 0 || timing.preVoteTimeout.count() <= 0) {
        return invalid("the timeouts of campaigns and pre-votes must be positive");
    }
    if (limits.entriesPerAppend == 0 || limits.entriesInFlight == 0) {
        return invalid("the limits on entries per append and in flight must be positive");
    }
    if (!hasRandom) {
        return invalid("a replica needs a random source");
    }
    return {};
}

core::Result<ReplicatedLog> restoreLog(Snapshot snapshot, const std::vector<Entry> &entries, Term term)
{
    ReplicatedLog log(std::move(snapshot));
    for (const auto &entry : entries) {
        if (entry.id.index <= log.snapshot().last.index) {
            continue;
        }
        if (entry.id.index != log.last().index.next() || entry.id.term < log.last().term) {
            return core::Error{core::ErrorCode::JournalDamaged,
                               "log entry out of order at index " + std::to_string(entry.id.index.value())};
        }
        log.append(entry);
    }
    if (log.last().term > term) {
        return core::Error{core::ErrorCode::JournalDamaged, "the last log entry has a later term than the stored one"};
    }
    return log;
}

} // namespace

Replica::Builder &Replica::Builder::self(MemberId self)
{
    m_self = std::move(self);
    return *this;
}

Replica::Builder &Replica::Builder::initialMembers(Members members)
{
    m_members = std::move(members);
    return *this;
}

Replica::Builder &Replica::Builder::hardState(HardState state)
{
    m_hardState = std::move(state);
    return *this;
}

Replica::Builder &Replica::Builder::snapshot(Snapshot snapshot)
{
    m_snapshot = std::move(snapshot);
    return *this;
}

Replica::Builder &Replica::Builder::entries(std::vector<Entry> entries)
{
    m_entries = std::move(entries);
    return *this;
}

Replica::Builder &Replica::Builder::timing(Timing timing)
{
    m_timing = timing;
    return *this;
}

Replica::Builder &Replica::Builder::limits(Limits limits)
{
    m_limits = limits;
    return *this;
}

Replica::Builder &Replica::Builder::random(core::RandomSource random)
{
    m_random = std::move(random);
    return *this;
}

core::Result<Replica> Replica::Builder::build(core::TimePoint now) const
{
    if (auto status = checkSettings(m_self, m_timing, m_limits, m_random != nullptr); !core::ok(status)) {
        return core::error(status);
    }
    auto log = restoreLog(m_snapshot.value_or(Snapshot{{}, m_members, {}}), m_entries, m_hardState.term);
    if (!core::ok(log)) {
        return core::error(log);
    }
    return Replica(std::make_unique<ReplicaImpl>(*this, std::move(core::value(log)), now));
}

Replica::Replica(std::unique_ptr<ReplicaImpl> impl)
    : m_impl(std::move(impl))
{
}

Replica::~Replica() = default;
Replica::Replica(Replica &&) noexcept = default;
Replica &Replica::operator=(Replica &&) noexcept = default;

void Replica::tick(core::TimePoint now)
{
    m_impl->tick(now);
}

void Replica::receive(const Message &message, core::TimePoint now)
{
    m_impl->receive(message, now);
}

core::Result<EntryId> Replica::propose(std::string payload, core::TimePoint now)
{
    return m_impl->propose(std::move(payload), now);
}

core::Status Replica::requestReadIndex(ReadToken token, core::TimePoint now)
{
    return m_impl->requestReadIndex(token, now);
}

core::Result<EntryId> Replica::changeMembers(const MembersChange &change, core::TimePoint now)
{
    return m_impl->changeMembers(change, now);
}

void Replica::persisted(BatchNumber batch, core::TimePoint now)
{
    m_impl->persisted(batch, now);
}

void Replica::storageFailed(core::TimePoint now)
{
    m_impl->storageFailed(now);
}

StorageImage Replica::storageImage() const
{
    return m_impl->storageImage();
}

void Replica::storageRestored(BatchNumber batch, core::TimePoint now)
{
    m_impl->storageRestored(batch, now);
}

void Replica::handOver(core::TimePoint now)
{
    m_impl->handOver(now);
}

void Replica::stop()
{
    m_impl->stop();
}

core::Status Replica::compact(LogIndex index, std::string payload)
{
    return m_impl->compact(index, std::move(payload));
}

Effects Replica::takeEffects()
{
    return m_impl->takeEffects();
}

ReplicaStatus Replica::status() const
{
    return m_impl->status();
}

} // namespace pimentoshed::consensus
