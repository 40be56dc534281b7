/**
 * @file
 * The targets known to a host, and their leases.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"
#include "targets/target.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pimentoshed::targets
{

/** Effect of an announcement or of another host's record on the table. */
enum class UpdateResult : std::uint8_t {
    /** The record of the target was added or replaced. */
    Changed,
    /** The version is the same; an announcement has renewed the lease. */
    Renewed,
    /** Older than the stored record; ignored. */
    Stale,
    /** Another host reported the end of a lease that this host keeps. The stored record now overrides that report. */
    Reasserted,
};

/**
 * Stores the newest announcement of each target. An older one never replaces a newer one. Thread-safe; rank Targets.
 */
class TargetTable
{
public:
    /** Called with each new record of a target, in order, with the table's lock held. */
    using ChangeHook = std::function<void(const Target &)>;

    TargetTable() = default;
    explicit TargetTable(ChangeHook onChange);

    /**
     * Records an announcement that the target itself sent to this host, which then keeps the target's lease until
     * @p leaseEnd, and raises the lease epoch of the stored record if another host kept the lease. An announcement that
     * differs from the previous one only in its sequence renews the lease.
     */
    UpdateResult announce(Target target, core::TimePoint leaseEnd);

    /** Records a target that this host has stored before a restart as announce() does, but not as an announcement. */
    UpdateResult restore(const Target &target, core::TimePoint leaseEnd);

    /** Records a target as another host reported it. */
    UpdateResult update(Target target);

    /** Makes this host the keeper, until @p leaseEnd, of the leases that host @p origin kept. */
    void adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd);

    /** Stops keeping the lease of target @p id if it was adopted from host @p origin, which keeps it again. */
    void releaseLease(const core::TargetId &id, const core::HostId &origin);

    /** Marks as gone the targets whose leases this host keeps and which have ended at @p now. Returns them. */
    std::vector<Target> expire(core::TimePoint now);

    /** Returns the targets of @p service that are not gone. */
    std::vector<Target> ofService(const core::ServiceName &service) const;
    /** Returns all targets, including those that are gone. */
    std::vector<Target> all() const;
    std::optional<Target> find(const core::TargetId &id) const;
    /** Returns the version of the target's latest announcement; newer than in find() if it only renewed the lease. */
    std::optional<AnnouncementVersion> lastAnnouncedVersion(const core::TargetId &id) const;
    /** Whether the latest known incarnation of target @p id announced itself to this host within a lease of @p now. */
    bool isAnnouncedHere(const core::TargetId &id, core::TimePoint now) const;
    std::size_t size() const;

private:
    struct Entry {
        Target target;
        /** Set if this host keeps the lease. */
        std::optional<core::TimePoint> leaseEnd;
        /** Version of the latest announcement, which may only have renewed the lease. */
        AnnouncementVersion lastAnnounced;
        /** End of the lease that the latest announcement to this host got, whatever was reported about it since. */
        std::optional<core::TimePoint> announcedUntil{};
    };

    /** Does the work of announce() and restore(). Requires m_mutex. */
    UpdateResult keepLease(Target target, core::TimePoint leaseEnd);
    void replace(Entry &entry, const Target &target, std::optional<core::TimePoint> leaseEnd);
    void insert(const Target &target, std::optional<core::TimePoint> leaseEnd);
    void notify(const Target &target) const;

    const ChangeHook m_onChange;
    mutable core::RankedMutex m_mutex{core::LockRank::Targets};
    std::unordered_map<core::TargetId, Entry> m_entries;
    std::map<core::ServiceName, std::vector<core::TargetId>> m_byService;
};

} // namespace pimentoshed::targets
