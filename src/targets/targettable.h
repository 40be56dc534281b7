/**
 * @file
 * The targets that a host knows of, and their leases.
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

/** What became of an announcement. */
enum class UpdateResult : std::uint8_t {
    Changed,
    Renewed,
    Stale,
    /** Another host let the lease end that this host keeps; this host's word now says otherwise. */
    Reasserted,
};

/**
 * Keeps the newest word of each target. An older word never replaces a newer one. Thread-safe; rank Targets.
 */
class TargetTable
{
public:
    /** Takes each new word of a target, in order, under the table's lock. */
    using ChangeHook = std::function<void(const Target &)>;

    TargetTable() = default;
    explicit TargetTable(ChangeHook onChange);

    /**
     * Takes @p target's own announcement at this host, which keeps its lease until @p leaseEnd from now on. The lease
     * epoch of @p target is set here. One that differs from the last by its sequence alone renews the lease.
     */
    UpdateResult announce(Target target, core::TimePoint leaseEnd);

    /** Takes a record that another host passed on. */
    UpdateResult update(const Target &target);

    /** Keeps from now on the leases that @p origin kept, until @p leaseEnd. */
    void adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd);

    /** Marks as gone the targets whose leases this host keeps and that have ended. Returns them. */
    std::vector<Target> expire(core::TimePoint now);

    std::vector<Target> ofService(const core::ServiceName &service) const;
    std::vector<Target> all() const;
    std::optional<Target> find(const core::TargetId &id) const;
    /** The target's latest own word at this host, which may say nothing that find() doesn't. */
    std::optional<AnnouncementVersion> lastAnnouncedVersion(const core::TargetId &id) const;
    std::size_t size() const;

private:
    struct Entry {
        Target target;
        std::optional<core::TimePoint> leaseEnd;
        /** The target's latest own word, which may say nothing new. */
        AnnouncementVersion heard;
    };

    void replace(Entry &entry, const Target &target, std::optional<core::TimePoint> leaseEnd);
    void insert(const Target &target, std::optional<core::TimePoint> leaseEnd);
    void tell(const Target &target) const;

    const ChangeHook m_onChange;
    mutable core::RankedMutex m_mutex{core::LockRank::Targets};
    std::unordered_map<core::TargetId, Entry> m_entries;
    std::map<core::ServiceName, std::vector<core::TargetId>> m_byService;
};

} // namespace pimentoshed::targets
