/**
 * @file
 * One member of the replicated log (a Raft server): elections, replication, read requests, changes of members.
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
    /** The interval between the heartbeats of a leader. */
    core::Duration heartbeatInterval = std::chrono::milliseconds(150);
    /**
     * A member starts an election if it has received nothing from a leader for one to two of these. A leader that has
     * had no contact with a quorum for one of these steps down. An election must end before the permission of entry
     * hosts does, of which two long polls may have passed when the leader is lost.
     */
    core::Duration electionTimeout = std::chrono::milliseconds(600);
    /**
     * The same as electionTimeout, for a member that has just started. Pre-votes protect a leader from which the member
     * has not yet received a message.
     */
    core::Duration firstElectionTimeout = std::chrono::seconds(1);
    /** How much later each member starts its first election than the one before it in the list of voters. */
    core::Duration firstElectionStagger = std::chrono::milliseconds(100);
    /**
     * A member without enough pre-votes requests them again after one to two of these. Pre-votes change no term, and
     * members that start together become ready one after the other.
     */
    core::Duration preVoteTimeout = std::chrono::milliseconds(100);
    /** A candidate without enough votes starts another election after one to two of these. */
    core::Duration campaignTimeout = std::chrono::milliseconds(250);
    /** How long a leader waits before it resends a snapshot that was not acknowledged. */
    core::Duration snapshotRetryInterval = std::chrono::seconds(5);
};

struct Limits {
    std::size_t entriesPerAppend = 256;
    std::size_t bytesPerAppend = 1 << 20;
    /** The limit on entries that were sent to a member and are not yet acknowledged. */
    std::size_t entriesInFlight = 1024;
};

/** A change of members that an operator requested. If both members are set, @c joining replaces @c leaving. */
struct MembersChange {
    std::optional<MemberId> joining;
    std::optional<MemberId> leaving;
    /** Abandons the rest of a running change that can't finish, for example because its joining member is lost. */
    bool abandonRunning = false;
};

struct MemberProgress {
    MemberId member;
    LogIndex match;
    /** When the newest acknowledged heartbeat round began. */
    core::TimePoint lastContact{};
};

/** The status of a replica at one moment. */
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
    /** The progress of every other member; empty unless this member is the leader. */
    std::vector<MemberProgress> progress;
    /** Whether this member is the leader and an entry of its term is committed. */
    bool isTermCommitted = false;
    /**
     * If this member is the leader: when the newest round began that a quorum has acknowledged; the latest time if it
     * is a quorum itself. Until the shortest election time-out has passed since, there is no other leader.
     */
    core::TimePoint quorumContact{};
    std::size_t pendingReads = 0;
    /** Whether a write or sync failed and the storage has not been restored since. */
    bool isStorageFailed = false;
};

/**
 * Makes the decisions of one member. It does no I/O and reads no clock: time, random numbers and messages are passed
 * in, and effects are returned. Not thread-safe: the host calls it with its mutex of rank Replica locked, and takes the
 * effects after each call under the same lock.
 *
 * Never throws because of a message: messages that are outdated, for another member or contradictory are dropped.
 */
class Replica
{
public:
    /** Collects the settings and the stored state that a replica starts with. */
    class Builder
    {
    public:
        /** This host and its current data folder. */
        Builder &self(MemberId self);
        /** The members before the first entry; none on a host that has yet to be added as a member. */
        Builder &initialMembers(Members members);
        Builder &hardState(HardState state);
        Builder &snapshot(Snapshot snapshot);
        /** The entries as read from disk; those that the snapshot covers are skipped. */
        Builder &entries(std::vector<Entry> entries);
        Builder &timing(Timing timing);
        Builder &limits(Limits limits);
        Builder &random(core::RandomSource random);

        /** SettingInvalid for invalid settings, JournalDamaged for a log that is not consecutive. */
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

    /** Handles time-outs. To be called at least every quarter of a heartbeat interval. */
    void tick(core::TimePoint now);

    void receive(const Message &message, core::TimePoint now);

    /**
     * Appends an entry of kind Change and returns its id. The change is accepted once an entry with exactly this id is
     * committed; it is lost if an entry with another id is committed at the same index. Errors: NotLeader (the detail
     * is the leader's host), NoQuorum, JournalWriteFailed.
     */
    core::Result<EntryId> propose(std::string payload, core::TimePoint now);

    /**
     * Requests a confirmation that no other leader has committed a newer entry: Raft's ReadIndex. Unless this returns
     * an error, @p token appears exactly once among the confirmed or the failed reads. Errors as for propose().
     */
    core::Status requestReadIndex(ReadToken token, core::TimePoint now);

    /**
     * Starts a change of members and returns the id of its first entry. The change is finished once a Members entry is
     * committed that leaves no change running. Errors: ChangeNotCommitted while another change is running,
     * SettingInvalid for a change that does not fit the present members, and those of propose().
     */
    core::Result<EntryId> changeMembers(const MembersChange &change, core::TimePoint now);

    /** Reports that every batch up to @p batch is durable. */
    void persisted(BatchNumber batch, core::TimePoint now);

    /**
     * Reports that a write or sync failed, so that what is on disk is unknown. Until storageRestored(), the member
     * neither votes nor acknowledges nor leads; a leader hands its leadership on first. It still receives entries and
     * applies what is committed, but only in memory.
     */
    void storageFailed(core::TimePoint now);

    /** Returns what must be on disk, to be written anew after storageFailed(). */
    StorageImage storageImage() const;

    /** Reports that the image up to @p batch is durable, and that later batches are stored again. */
    void storageRestored(BatchNumber batch, core::TimePoint now);

    /** Hands the leadership, if this member has it, to the member that holds the most entries, and becomes a follower.
     */
    void handOver(core::TimePoint now);

    /** Takes no part any more. */
    void stop();

    /**
     * Replaces the entries up to @p index by a snapshot. @p payload is the replicated state after the entry at
     * @p index, which must have been returned as committed. SettingInvalid for an index that is not committed; an index
     * that is already compacted is ignored.
     */
    core::Status compact(LogIndex index, std::string payload);

    /** Returns the effects since the last call, as one batch. */
    Effects takeEffects();

    ReplicaStatus status() const;

private:
    explicit Replica(std::unique_ptr<ReplicaImpl> impl);

    std::unique_ptr<ReplicaImpl> m_impl;
};

} // namespace pimentoshed::consensus
