/**
 * @file
 * What an entry host knows of the system and how long it may act on it.
 */
#pragma once

#include "changes/ledger.h"
#include "core/rankedmutex.h"
#include "membership/permission.h"
#include "membership/versionedhosttable.h"

#include <memory>
#include <vector>

namespace pimentoshed::entry
{

/** Never moves to an older revision. Thread-safe; rank Configuration. */
class ClusterView
{
public:
    /** Takes @p standing if it is newer. Whether it was. */
    bool adopt(changes::ActiveConfiguration standing);

    /** Takes a confirmation that @p revision was current at a question asked at @p asked. */
    void confirm(std::uint64_t revision, core::TimePoint asked);

    void learnHosts(const membership::HostUpdate &news);

    /** Whether what is known is known to be current. */
    bool isCurrent(core::TimePoint now) const;

    /** What may be acted on at @p now, by the configuration's own rule for hosts out of touch. Error: NotCurrent. */
    core::Result<std::shared_ptr<const changes::ActiveConfiguration>> current(core::TimePoint now) const;

    /** What is known, current or not; nullptr at first. */
    std::shared_ptr<const changes::ActiveConfiguration> latest() const;

    std::uint64_t revision() const;
    std::vector<membership::EntryHost> hosts() const;

private:
    bool isCurrentWithLock(core::TimePoint now) const;

    mutable core::RankedMutex m_mutex{core::LockRank::Configuration};
    std::shared_ptr<const changes::ActiveConfiguration> m_standing;
    membership::Permission m_permission;
    membership::HostMap m_hosts;
};

/** The hosts as @p view knows them, but for what @p self knows better of itself. */
std::vector<membership::EntryHost> knownHosts(const ClusterView &view, const membership::EntryHost &self);

/** The failure domains that are out in @p standing. */
std::vector<core::FailureDomain> outDomains(const changes::ActiveConfiguration &standing);

} // namespace pimentoshed::entry
