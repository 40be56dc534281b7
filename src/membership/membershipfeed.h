/**
 * @file
 * What a control host passes on between entry hosts: who they are, and the newest words of targets. Soft state: lost
 * with the process and reported again by the entry hosts.
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

/** Whom a feed is for. */
enum class SubscriberKind : std::uint8_t {
    /** Is told of all entry hosts. */
    EntryHosts,
    /** Another control host: is told of the entry hosts and targets that this one hears itself. */
    Peers,
};

/** Who told this host of a target. */
enum class UpdateSource : std::uint8_t {
    /** The target itself, an entry host, the log, or the end of a lease that this host kept. */
    Own,
    /** Another control host, which tells all others too. */
    Peer,
};

/** What has changed since a position in the feed. */
struct FeedUpdate {
    std::uint64_t position = 0;
    std::vector<targets::Target> targets;
    HostUpdate hosts;
    /** Whether what is told of control hosts has changed. */
    bool controlHostsChanged = false;
};

/**
 * A feed of changes, numbered in order. An older word of a host or a target never replaces a newer one. Thread-safe;
 * rank Membership.
 */
class MembershipFeed
{
public:
    /** Notes that @p host was heard from. Whether its record changed. */
    bool recordContact(const EntryHost &host, core::TimePoint now);

    /** Takes what the control host @p source says of the entry hosts that it hears. Whether that changed anything. */
    bool updatePeerHosts(const core::HostId &source, const HostUpdate &news);

    /** Forgets what @p source said. */
    void removePeer(const core::HostId &source);

    /** Takes @p target's word. Whether it was new. */
    bool updateTarget(const targets::Target &target, UpdateSource teller = UpdateSource::Own);

    /** Forgets the hosts not heard from since @p before. Whether there were any. */
    bool removeSilentHosts(core::TimePoint before);

    /** What came after @p position; 0 asks for everything. */
    FeedUpdate updateSince(std::uint64_t position, SubscriberKind audience) const;

    /** Notes that what is told of control hosts has changed. */
    void noteControlHostsChanged();

    /** The latest change that concerns @p audience. */
    std::uint64_t position(SubscriberKind audience) const;
    /** Every entry host that is heard, here or at another control host. */
    std::vector<EntryHost> hosts() const;
    std::size_t targetCount() const;
    /** How many of the known targets say @p condition. */
    std::size_t targetCount(targets::Condition condition) const;

private:
    struct HostEntry {
        EntryHost host;
        core::TimePoint heard;
    };
    struct TargetEntry {
        targets::Target target;
        std::uint64_t position = 0;
        UpdateSource teller = UpdateSource::Own;
    };

    /** Numbers a change of the entry hosts, if it is one. */
    void noteHosts();

    mutable core::RankedMutex m_mutex{core::LockRank::Membership};
    std::uint64_t m_position = 0;
    /** Of the latest change that its peers are told, and of the control hosts. */
    std::uint64_t m_peersPosition = 0;
    std::uint64_t m_controlHostsPosition = 0;
    /** The hosts that this one hears itself, and all of them. */
    VersionedHostTable m_ownHosts;
    VersionedHostTable m_allHosts;
    std::map<core::HostId, HostEntry> m_hosts;
    std::map<core::HostId, HostMap> m_sources;
    std::unordered_map<core::TargetId, TargetEntry> m_targets;
    std::map<std::uint64_t, core::TargetId> m_order;
};

} // namespace pimentoshed::membership
