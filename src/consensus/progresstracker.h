/**
 * @file
 * The replication progress of the other members, as tracked by a leader.
 */
#pragma once

#include "consensus/types.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace pimentoshed::consensus
{

/** How a leader sends entries to a member. */
enum class ReplicationMode : std::uint8_t {
    /** Entries are sent without waiting for the acknowledgement of earlier ones. */
    Stream,
    /** One append is sent per heartbeat, until the index at which the logs match is known. */
    Probe,
    /** A snapshot was sent and is not yet acknowledged. */
    Snapshot,
};

/** The progress of one other member. */
struct PeerProgress {
    ReplicationMode mode = ReplicationMode::Stream;
    /** The highest index that the member is known to hold durably. */
    LogIndex match;
    /** The next index to send. */
    LogIndex next;
    /** The commit index that was last sent. */
    LogIndex sentCommitIndex;
    Round acknowledged;
    /** When the newest acknowledged heartbeat round began. */
    core::TimePoint lastContact;
    core::TimePoint snapshotSentAt;
};

/** The progress of the leader itself. */
struct LeaderProgress {
    MemberId self;
    LogIndex durable;
    core::TimePoint now;
};

/** The progress of the other members during one leader's term, and the heartbeat rounds of that term. */
class ProgressTracker
{
public:
    /** Tracks each new member, to which entries from @p nextIndex on are sent, and drops those that have left. */
    void updateMembers(const Members &members, const MemberId &self, LogIndex nextIndex, core::TimePoint now);

    PeerProgress *find(const MemberId &member);
    std::map<MemberId, PeerProgress> &peers()
    {
        return m_peers;
    }
    const std::map<MemberId, PeerProgress> &peers() const
    {
        return m_peers;
    }

    Round round() const
    {
        return m_round;
    }
    Round beginRound(core::TimePoint now);
    /**
     * Records that @p peer acknowledged @p round. The time of contact is the beginning of the round, so that a delayed
     * reply does not count as recent contact.
     */
    void recordAcknowledgement(PeerProgress &peer, Round round);

    /** Returns the highest index that a quorum holds durably. */
    LogIndex quorumMatch(const Members &members, const LeaderProgress &own) const;
    /** Returns the newest round that a quorum has acknowledged. */
    Round quorumRound(const Members &members, const MemberId &self) const;
    /** Returns the other voter that holds the most entries, the one with the latest contact among several. */
    std::optional<MemberId> mostCompleteVoter(const Members &members) const;
    /** Returns the latest time at which a quorum was certainly in contact with the leader. */
    core::TimePoint quorumContact(const Members &members, const LeaderProgress &own) const;

private:
    std::map<MemberId, PeerProgress> m_peers;
    Round m_round;
    std::deque<std::pair<Round, core::TimePoint>> m_rounds;
};

} // namespace pimentoshed::consensus
