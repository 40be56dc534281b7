/**
 * @file
 * One member of the replicated log: elections, replication, confirmed reads, changes of members.
 */
#pragma once

#include "consensus/effects.h"
#include "consensus/messages.h"
#include "consensus/types.h"
#include "core/error.h"
#include "core/random.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::consensus
{

class ReplicaImpl;

struct Timing {
    /** Between the heartbeats of a leader. */
    core::Duration heartbeatInterval = std::chrono::milliseconds(250);
    /** A member that hears no leader for one to two of these campaigns; a leader without a quorum this long resigns. */
    core::Duration electionTimeout = std::chrono::seconds(1);
    /** As electionTimeout, for a member that has just started: pre-votes protect a leader that it has not heard yet. */
    core::Duration firstElectionTimeout = std::chrono::seconds(1);
    /** How much later than the member before it each member campaigns first. */
    core::Duration firstElectionStep = std::chrono::milliseconds(100);
    /** A candidate without enough votes tries again after one to two of these. */
    core::Duration campaignTimeout = std::chrono::milliseconds(250);
    /** Before a snapshot that was not acknowledged is sent again. */
    core::Duration snapshotRetryInterval = std::chrono::seconds(5);
};

struct Limits {
    std::size_t entriesPerAppend = 256;
    std::size_t bytesPerAppend = 1 << 20;
    /** Entries sent to a member and not yet acknowledged. */
    std::size_t entriesInFlight = 1024;
};

/** A change of members that an operator asked for. With both fields, one member replaces the other. */
struct MembersChange {
    std::optional<MemberId> joining;
    std::optional<MemberId> leaving;
    /** Gives up what is left of a change that can't finish, such as one whose joining member is lost. */
    bool abandonRunning = false;
};

struct MemberProgress {
    MemberId member;
    LogIndex match;
    /** When the newest acknowledged round began. */
    core::TimePoint lastContact{};
};

/** What a state dump shows. */
struct ReplicaStatus {
    MemberId self;
    Role role = Role::Follower;
    Term term;
    std::optional<MemberId> leader;
    LogIndex commit;
    LogIndex last;
    LogIndex durable;
    LogIndex snapshot;
    Members members;
    /** Only at a leader: every other member. */
    std::vector<MemberProgress> progress;
    std::size_t pendingReads = 0;
};

/**
 * The decisions of one member. Pure: time, randomness and messages come in, effects go out. Not thread-safe: the host
 * calls it under its mutex of rank Replica, and after each call takes the effects under the same lock.
 *
 * Never throws over a message: what is old, foreign or contradictory is dropped.
 */
class Replica
{
public:
    /** Collects what a replica starts from. */
    class Builder
    {
    public:
        /** This host and its present disk. */
        Builder &self(MemberId self);
        /** The members before the first entry; none at a host that waits to be brought in. */
        Builder &initialMembers(Members members);
        Builder &hardState(HardState state);
        Builder &snapshot(Snapshot snapshot);
        /** As read from disk; those that the snapshot covers are skipped. */
        Builder &entries(std::vector<Entry> entries);
        Builder &timing(Timing timing);
        Builder &limits(Limits limits);
        Builder &random(core::RandomSource random);

        /** SettingInvalid for settings that make no sense, JournalDamaged for a log with a gap. */
        core::Result<Replica> build(core::TimePoint now) const;

    private:
        friend class ReplicaImpl;
        MemberId m_self;
        Members m_members;
        HardState m_hardState;
        std::optional<Snapshot> m_snapshot;
        std::vector<Entry> m_entries;
        Timing m_timing;
        Limits m_limits;
        core::RandomSource m_random;
    };

    ~Replica();
    Replica(Replica &&) noexcept;
    Replica &operator=(Replica &&) noexcept;

    /** To be called at least every quarter of a heartbeat interval. */
    void tick(core::TimePoint now);

    void receive(const Message &message, core::TimePoint now);

    /**
     * Appends a Change. It is accepted once an entry of exactly this id is among the committed ones; another id at the
     * same index says that it is lost. NotLeader (the detail is the leader's host), NoQuorum, JournalWriteFailed.
     */
    core::Result<EntryId> propose(std::string payload, core::TimePoint now);

    /**
     * Asks for a confirmation that no other leader has committed anything newer. Where this yields no error, the
     * token appears later, once, among the confirmed or the failed reads. Errors as for propose().
     */
    core::Status requestReadIndex(ReadToken token, core::TimePoint now);

    /**
     * Starts a change of members. It is finished once a settled Members entry is committed. ChangeNotCommitted while
     * another change runs, SettingInvalid for one that makes no sense; else errors as for propose().
     */
    core::Result<EntryId> changeMembers(const MembersChange &change, core::TimePoint now);

    /** Every batch up to @p batch is durable. */
    void persisted(BatchNumber batch, core::TimePoint now);

    /** A write or sync failed: from now on this member neither votes nor acknowledges nor leads. */
    void storageFailed();

    /**
     * @p payload is the replicated state at @p index, which has been handed out as committed; older entries go.
     * SettingInvalid for an index that is not committed; one already compacted is ignored.
     */
    core::Status compact(LogIndex index, std::string payload);

    /** What has come up since the last call. */
    Effects takeEffects();

    ReplicaStatus status() const;

private:
    explicit Replica(std::unique_ptr<ReplicaImpl> engine);

    std::unique_ptr<ReplicaImpl> m_engine;
};

} // namespace pimentoshed::consensus
