/**
 * @file
 * Decides whether a control host knows the latest incarnation of each target, although it keeps targets as soft state.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/rankedmutex.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace pimentoshed::membership
{

/** What a control host knows about the latest incarnation of one target. */
enum class IncarnationKnowledge : std::uint8_t {
    /** The target announced it to this host within a lease. */
    Latest,
    /** It is the latest unless this host is on the minority side of a network partition. */
    LatestIfCurrent,
    /** Another host may know a later one. */
    Uncertain,
};

inline constexpr std::array IncarnationKnowledgeNames{
    core::EnumName<IncarnationKnowledge>{IncarnationKnowledge::Latest, "latest"},
    core::EnumName<IncarnationKnowledge>{IncarnationKnowledge::LatestIfCurrent, "latest-if-current"},
    core::EnumName<IncarnationKnowledge>{IncarnationKnowledge::Uncertain, "uncertain"},
};

/** A reply of another control host to a follow call. */
struct PeerUpdate {
    /** When the call was made that it replies to: it covers at least what the peer knew then. */
    core::TimePoint callTime{};
    /** Whether it contains all targets of the peer, and not only changes. */
    bool containsAllTargets = false;
    /** Whether the peer knows the latest incarnation of each target. */
    bool isPeerComplete = false;
};

/**
 * What a control host may know about targets. After its start it knows nothing: an incarnation that was announced
 * before may be known only to others. Its knowledge is complete once a peer with complete knowledge has sent all
 * targets, or once every target has had the time to announce itself again. It stays current while the host is in
 * contact with each peer, or has not been for as long. Thread-safe; lock rank Membership.
 */
class TargetKnowledge
{
public:
    /** Starts without knowledge at @p now. */
    void start(core::TimePoint now);

    /** Sets the other control hosts, with which there was no contact before @p now if they are new. */
    void setPeers(const std::vector<core::HostId> &peers, core::TimePoint now);

    /** Records an update, after its targets were recorded. Ignores hosts that are not among the peers. */
    void recordUpdate(const core::HostId &peer, const PeerUpdate &update);

    /** Whether this host's knowledge was complete at some time; @p lease is the lease of a target. */
    bool isComplete(core::TimePoint now, core::Duration lease) const;

    /**
     * Whether no other host knows a later incarnation of any target that still serves, apart from messages on their
     * way.
     */
    bool isCurrent(core::TimePoint now, core::Duration lease) const;

private:
    struct Peer {
        bool hasReplied = false;
        /** Until when this host knows the changes of the peer; until the first reply, when the peer was added. */
        core::TimePoint knownUntil{};
    };

    mutable core::RankedMutex m_mutex{core::LockRank::Membership};
    core::TimePoint m_start{};
    bool m_hasCompleteUpdate = false;
    std::map<core::HostId, Peer> m_peers;
};

} // namespace pimentoshed::membership
