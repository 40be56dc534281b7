/**
 * @file
 * The implementation of Replica.
 */
#pragma once

#include "consensus/outbox.h"
#include "consensus/progresstracker.h"
#include "consensus/readqueue.h"
#include "consensus/replica.h"
#include "consensus/replicatedlog.h"

#include <set>
#include <string>
#include <utility>

namespace pimentoshed::consensus
{

/**
 * The state of a replica and its rules, which are in election.cpp, leading.cpp, following.cpp and replicaimpl.cpp. Not
 * thread-safe.
 */
class ReplicaImpl
{
public:
    ReplicaImpl(const Replica::Builder &builder, ReplicatedLog log, core::TimePoint now);

    void tick(core::TimePoint now);
    void receive(const Message &message, core::TimePoint now);
    core::Result<EntryId> propose(std::string payload, core::TimePoint now);
    core::Status requestReadIndex(ReadToken token, core::TimePoint now);
    core::Result<EntryId> changeMembers(const MembersChange &change, core::TimePoint now);
    void persisted(BatchNumber batch, core::TimePoint now);
    void storageFailed(core::TimePoint now);
    StorageImage storageImage() const;
    void storageRestored(BatchNumber batch, core::TimePoint now);
    void handOver(core::TimePoint now);
    void stop();
    core::Status compact(LogIndex index, std::string payload);
    Effects takeEffects();
    ReplicaStatus status() const;

private:
    // Elections, in election.cpp
    void startPreVote(core::TimePoint now);
    void startElection(core::TimePoint now, bool isHandover = false);
    void countOwnVote(core::TimePoint now);
    void countVotes(core::TimePoint now);
    void handle(const MemberId &from, const PreVoteRequest &request, core::TimePoint now);
    void handle(const MemberId &from, const PreVoteReply &reply, core::TimePoint now);
    void handle(const MemberId &from, const VoteRequest &request, core::TimePoint now);
    void handle(const MemberId &from, const VoteReply &reply, core::TimePoint now);
    void handle(const MemberId &from, const HandoverRequest &request, core::TimePoint now);
    bool hasLeaderContact(core::TimePoint now) const;
    void resetElectionDeadline(core::TimePoint now);
    core::Duration firstElectionTimeout() const;
    core::Duration randomised(core::Duration timeout) const;
    void becomeFollower(Term term, const std::optional<MemberId> &leader, core::TimePoint now);
    void setTerm(Term term, const std::optional<MemberId> &votedFor);
    void setRole(Role role, const std::optional<MemberId> &leader);

    // The leader, in leading.cpp
    void becomeLeader(core::TimePoint now);
    void checkQuorum(core::TimePoint now);
    core::Status checkLeader(core::TimePoint now);
    EntryId appendAsLeader(Entry entry, core::TimePoint now);
    void beginRound(core::TimePoint now);
    void replicate(const MemberId &member, PeerProgress &peer, core::TimePoint now);
    void sendAppend(const MemberId &member, PeerProgress &peer);
    void sendSnapshot(const MemberId &member, PeerProgress &peer, core::TimePoint now);
    void sendHeartbeat(const MemberId &member, PeerProgress &peer, core::TimePoint now);
    void sendCommitIndex();
    void handle(const MemberId &from, const AppendReply &reply, core::TimePoint now);
    void handle(const MemberId &from, const InstallSnapshotReply &reply, core::TimePoint now);
    void handleAcknowledgement(const MemberId &from, Round round, LogIndex match, core::TimePoint now);
    void resolveConflict(const MemberId &from, PeerProgress &peer, const Conflict &conflict, core::TimePoint now);
    void advanceLeaderCommit(core::TimePoint now);
    void confirmReads(core::TimePoint now);
    void failReads(core::ErrorCode code);
    void continueMembersChange(core::TimePoint now);
    bool isTermCommitted() const;

    // The follower, in following.cpp
    void handle(const MemberId &from, const AppendRequest &request, core::TimePoint now);
    void handle(const MemberId &from, const InstallSnapshotRequest &request, core::TimePoint now);
    bool acceptLeader(const MemberId &from, Term term, core::TimePoint now);
    bool storeEntries(const AppendRequest &request);
    void commitUpTo(LogIndex index);

    bool isStopped() const
    {
        return m_role == Role::Stopped;
    }
    void send(const MemberId &to, MessageBody body, bool afterSync);
    LeaderProgress leaderProgress(core::TimePoint now) const;

    const MemberId m_self;
    const Timing m_timing;
    const Limits m_limits;
    const core::RandomSource m_random;

    HardState m_hardState;
    ReplicatedLog m_log;
    Outbox m_outbox;
    Role m_role = Role::Follower;
    std::optional<MemberId> m_leader;
    /** Whether a write or sync failed and the storage has not been restored since. */
    bool m_isStorageFailed = false;
    LogIndex m_commitIndex;
    core::TimePoint m_electionDeadline;
    core::TimePoint m_lastLeaderContact;
    /** The members that granted the current pre-vote or vote. */
    std::set<MemberId> m_votes;

    // Used only while this member is the leader.
    ProgressTracker m_progress;
    ReadQueue m_reads;
    /** The index of the no-op entry that began the current term. */
    LogIndex m_termStart;
    core::TimePoint m_nextHeartbeat;
};

} // namespace pimentoshed::consensus
