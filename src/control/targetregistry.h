/**
 * @file
 * The targets known to a control host: announced by themselves, or reported by other hosts or by the replicated log.
 */
#pragma once

#include "core/time.h"
#include "membership/membershipfeed.h"
#include "targets/targettable.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace pimentoshed::control
{

/** Keeps the leases of targets that announce themselves here, and puts their changes in the feed. Thread-safe. */
class TargetRegistry
{
public:
    struct Dependencies {
        membership::MembershipFeed &membershipFeed;
        core::HostId self;
        /** Returns the target, marked as leaving if its incarnation was withdrawn. */
        std::function<targets::Target(const targets::Target &)> applyWithdrawal;
    };

    explicit TargetRegistry(Dependencies dependencies);

    /** Records @p target's own announcement, with a lease until @p leaseEnd. */
    targets::UpdateResult announce(targets::Target target, core::TimePoint leaseEnd);

    /** Records a target that another host or the log has reported; @p source says where the record came from. */
    void record(const targets::Target &target, membership::UpdateSource source = membership::UpdateSource::Own);

    /**
     * Adds those of @p stored targets of which no incarnation is known that is as new, with a lease until @p leaseEnd.
     * Returns how many.
     */
    std::size_t restore(const std::vector<targets::Target> &stored, core::TimePoint leaseEnd);

    /** Ends the leases that have expired by @p now, and reports their targets as gone. */
    void expire(core::TimePoint now);

    /** Takes over, until @p leaseEnd, the leases that were kept by @p origin, a host that no longer replies. */
    void adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd);

    /** Whether the latest known incarnation of target @p id announced itself to this host within a lease of @p now. */
    bool isAnnouncedHere(const core::TargetId &id, core::TimePoint now) const;

    /** Returns the target, with the latest sequence number that it announced here. */
    std::optional<targets::Target> find(const core::TargetId &id) const;

private:
    const Dependencies m_dependencies;
    targets::TargetTable m_table;
};

} // namespace pimentoshed::control
