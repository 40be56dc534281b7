/**
 * @file
 * An entry host's copy of the active configuration and of the list of entry hosts, and how long it may act on them.
 */
#pragma once

#include "changes/ledger.h"
#include "core/rankedmutex.h"
#include "membership/permission.h"
#include "membership/versionedhosttable.h"
#include "workspaces/keytable.h"

#include <memory>
#include <vector>

namespace pimentoshed::entry
{

/** The active configuration of an entry host, with the table that is made of it. */
struct EntryConfiguration : changes::ActiveConfiguration {
    workspaces::KeyTable keys;
};

/** The revision of the active configuration never decreases. Thread-safe; lock rank Configuration. */
class ClusterView
{
public:
    /** Stores @p active if its revision is newer. Returns whether it was. */
    bool adopt(changes::ActiveConfiguration active);

    /**
     * Records that @p revision was confirmed as current by a call sent at @p sent. Ignored if the stored revision is
     * older.
     */
    void confirm(std::uint64_t revision, core::TimePoint sent);

    /** Applies an update of the list of entry hosts. */
    void updateHosts(const membership::HostUpdate &update);

    /** Returns until when the stored configuration counts as current; the epoch before the first confirmation. */
    core::TimePoint currentUntil() const;

    /**
     * Returns the active configuration if this host may act on it at @p now: it is confirmed as current, or it was
     * since this host has started and its limits set whenStale to Serve. Error: NotCurrent.
     */
    core::Result<std::shared_ptr<const EntryConfiguration>> current(core::TimePoint now) const;

    /**
     * Whether a configuration was confirmed as current since this host has started. Until then, the stored one may be
     * older than one that this host acted on before its start.
     */
    bool hasConfirmedConfiguration() const;

    /** Returns the stored active configuration, current or not; nullptr before the first one. */
    std::shared_ptr<const EntryConfiguration> latest() const;

    std::uint64_t revision() const;
    std::vector<membership::EntryHost> hosts() const;
    std::size_t hostCount() const;

private:
    mutable core::RankedMutex m_mutex{core::LockRank::Configuration};
    std::shared_ptr<const EntryConfiguration> m_active;
    membership::Permission m_permission;
    membership::HostMap m_hosts;
};

/** Returns the entry hosts of @p view. This host counts as stopping at once if @p self says so. */
std::vector<membership::EntryHost> knownHosts(const ClusterView &view, const membership::EntryHost &self);

/** Returns the failure domains that are out of service in @p active. */
std::vector<core::FailureDomain> domainsOutOfService(const changes::ActiveConfiguration &active);

} // namespace pimentoshed::entry
