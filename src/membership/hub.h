/**
 * @file
 * What a control host passes on between entry hosts: who they are, and the newest words of targets. Soft state: lost
 * with the process and reported again by the entry hosts.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"
#include "membership/roster.h"
#include "targets/target.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace pimentoshed::membership
{

/** Whom a feed is for. */
enum class Audience : std::uint8_t {
    /** Is told of all entry hosts. */
    EntryHosts,
    /** Another control host: is told of the entry hosts and targets that this one hears itself. */
    Peers,
};

/** Who told this host of a target. */
enum class Teller : std::uint8_t {
    /** The target itself, an entry host, the log, or the end of a lease that this host kept. */
    Own,
    /** Another control host, which tells all others too. */
    Peer,
};

/** What has changed since a position in the feed. */
struct FeedNews {
    std::uint64_t position = 0;
    std::vector<targets::Target> targets;
    HostNews hosts;
    /** Whether what is told of control hosts has changed. */
    bool controlHostsChanged = false;
};

/**
 * A feed of changes, numbered in order. An older word of a host or a target never replaces a newer one. Thread-safe;
 * rank Membership.
 */
class Hub
{
public:
    /** Notes that @p host was heard from. Whether its record changed. */
    bool hear(const EntryHost &host, core::TimePoint now);

    /** Takes what the control host @p source says of the entry hosts that it hears. Whether that changed anything. */
    bool hearFrom(const core::HostId &source, const HostNews &news);

    /** Forgets what @p source said. */
    void forgetSource(const core::HostId &source);

    /** Takes @p target's word. Whether it was new. */
    bool learn(const targets::Target &target, Teller teller = Teller::Own);

    /** Forgets the hosts not heard from since @p before. Whether there were any. */
    bool forgetSilent(core::TimePoint before);

    /** What came after @p position; 0 asks for everything. */
    FeedNews newsSince(std::uint64_t position, Audience audience) const;

    /** Notes that what is told of control hosts has changed. */
    void touchControlHosts();

    /** The latest change that concerns @p audience. */
    std::uint64_t position(Audience audience) const;
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
        Teller teller = Teller::Own;
    };

    /** Numbers a change of the entry hosts, if it is one. */
    void noteHosts();

    mutable core::RankedMutex m_mutex{core::LockRank::Membership};
    std::uint64_t m_position = 0;
    /** Of the latest change that its peers are told, and of the control hosts. */
    std::uint64_t m_peersPosition = 0;
    std::uint64_t m_controlHostsPosition = 0;
    /** The hosts that this one hears itself, and all of them. */
    Roster m_ownHosts;
    Roster m_allHosts;
    std::map<core::HostId, HostEntry> m_hosts;
    std::map<core::HostId, HostMap> m_sources;
    std::unordered_map<core::TargetId, TargetEntry> m_targets;
    std::map<std::uint64_t, core::TargetId> m_order;
};

} // namespace pimentoshed::membership
