/**
 * @file
 * The list of entry hosts and the latest target announcements, which a control host sends to entry hosts and to other
 * control hosts. Soft state: lost with the process and reported again by the entry hosts.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"
#include "membership/versionedhosttable.h"
#include "targets/target.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace pimentoshed::membership
{

/** The kind of host that follows a feed, which determines the updates that it gets. */
enum class SubscriberKind : std::uint8_t {
    /** An entry host: gets the updates of all entry hosts, targets and control hosts. */
    EntryHosts,
    /**
     * Another control host: gets only the entry hosts and targets that report to this control host directly, and all
     * targets at position 0, because it may have lost what it reported itself before a restart.
     */
    Peers,
};

/** Where an update of a target came from. */
enum class UpdateSource : std::uint8_t {
    /** The target itself, an entry host, the replicated log, or the end of a lease that this host kept. */
    Own,
    /** Another control host, which sends the update to all other control hosts too. */
    Peer,
};

/** The changes since a position in the feed. */
struct FeedUpdate {
    /** The feed's position after these changes. */
    std::uint64_t position = 0;
    std::vector<targets::Target> targets;
    HostUpdate hosts;
    /** Whether the list of control hosts has changed. */
    bool controlHostsChanged = false;
};

/**
 * The feed of changes of entry hosts, targets and control hosts that a control host sends to its followers. Each change
 * gets the next position. An older record of a host or target never replaces a newer one. Thread-safe; lock rank
 * Membership.
 */
class MembershipFeed
{
public:
    /**
     * Records contact with @p host at @p now. A record of an older incarnation is ignored. Returns whether the stored
     * record changed.
     */
    bool recordContact(const EntryHost &host, core::TimePoint now);

    /**
     * Applies an update of the entry hosts that report to the control host @p source. Returns whether it changed
     * anything.
     */
    bool updatePeerHosts(const core::HostId &source, const HostUpdate &update);

    /** Removes the entry hosts that the control host @p source reported. */
    void removePeer(const core::HostId &source);

    /**
     * Stores @p target if its announcement is newer, or if it is the same and did not come from @p source Own before.
     * Returns whether it was stored.
     */
    bool updateTarget(const targets::Target &target, UpdateSource source = UpdateSource::Own);

    /** Removes the hosts whose last contact was earlier than @p before. Returns whether there were any. */
    bool removeSilentHosts(core::TimePoint before);

    /** Returns the changes after @p position that concern @p subscriber; position 0 returns everything. */
    FeedUpdate updateSince(std::uint64_t position, SubscriberKind subscriber) const;

    /** Records that the list of control hosts has changed. */
    void noteControlHostsChanged();

    /** Returns the position of the latest change that concerns @p subscriber. */
    std::uint64_t position(SubscriberKind subscriber) const;
    /** Returns all entry hosts that report to this control host or to another one. */
    std::vector<EntryHost> hosts() const;
    /** Returns all known targets, those included that are gone. */
    std::vector<targets::Target> targets() const;
    std::size_t targetCount() const;
    /** Returns the number of known targets that announced @p condition. */
    std::size_t targetCount(targets::Condition condition) const;

private:
    struct HostEntry {
        EntryHost host;
        core::TimePoint lastContact;
    };
    struct TargetEntry {
        targets::Target target;
        std::uint64_t position = 0;
        UpdateSource source = UpdateSource::Own;
    };

    /** Rebuilds both host tables; if one has changed, advances the feed position. Requires m_mutex. */
    void rebuildHosts();

    mutable core::RankedMutex m_mutex{core::LockRank::Membership};
    std::uint64_t m_position = 0;
    /** Positions of the latest change that peers get, and of the latest change of the control hosts. */
    std::uint64_t m_peersPosition = 0;
    std::uint64_t m_controlHostsPosition = 0;
    /** The entry hosts that report to this control host, and those that report to any control host. */
    VersionedHostTable m_ownHosts;
    VersionedHostTable m_allHosts;
    /** The entry hosts that report to this control host, with the time of their last contact. */
    std::map<core::HostId, HostEntry> m_hosts;
    /** The entry hosts that report to each other control host. */
    std::map<core::HostId, HostMap> m_peerHosts;
    std::unordered_map<core::TargetId, TargetEntry> m_targets;
    /** Targets by the position of their latest change. */
    std::map<std::uint64_t, core::TargetId> m_targetsByPosition;
};

} // namespace pimentoshed::membership
