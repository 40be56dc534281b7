/**
 * @file
 * What a leader knows of the other members.
 */
#pragma once

#include "consensus/types.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace pimentoshed::consensus
{

/** How entries are sent to a member. */
enum class ReplicationMode : std::uint8_t {
    /** Ahead of the acknowledgements. */
    Stream,
    /** One append a heartbeat, until the logs are known to match. */
    Probe,
    /** The snapshot was sent. */
    Snapshot,
};

/** One other member. */
struct PeerProgress {
    ReplicationMode replication = ReplicationMode::Stream;
    LogIndex match;
    LogIndex next;
    LogIndex sentCommit;
    Round acknowledged;
    /** When the newest acknowledged round began. */
    core::TimePoint contact;
    core::TimePoint snapshotSent;
};

/** How far the leader itself is. */
struct LeaderProgress {
    MemberId self;
    LogIndex durable;
    core::TimePoint now;
};

/** The other members of one leader's term, and the rounds it began. */
class ProgressTracker
{
public:
    /** Starts the record of who is new in @p members and drops who is no longer in. */
    void follow(const Members &members, const MemberId &self, LogIndex next, core::TimePoint now);

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
    /** An acknowledgement counts from when its round began, so that old messages prove nothing new. */
    void acknowledge(PeerProgress &peer, Round round);

    /** The highest index that a quorum holds durably. */
    LogIndex quorumMatch(const Members &members, const LeaderProgress &own) const;
    /** The newest round that a quorum has acknowledged. */
    Round quorumRound(const Members &members, const MemberId &self) const;
    /** The latest time at which a quorum was certainly in contact. */
    core::TimePoint quorumContact(const Members &members, const LeaderProgress &own) const;

private:
    std::map<MemberId, PeerProgress> m_peers;
    Round m_round;
    std::deque<std::pair<Round, core::TimePoint>> m_rounds;
};

} // namespace pimentoshed::consensus
