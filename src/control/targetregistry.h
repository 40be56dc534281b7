/**
 * @file
 * Where the words of targets come together at a control host, from themselves, from other hosts and from the log.
 */
#pragma once

#include "core/time.h"
#include "membership/membershipfeed.h"
#include "targets/targettable.h"

#include <functional>

namespace pimentoshed::control
{

/** Keeps the leases of the targets that announce themselves here, and passes each new word on. Thread-safe. */
class TargetRegistry
{
public:
    struct Dependencies {
        membership::MembershipFeed &hub;
        core::HostId self;
        /** A target as it may be known, given the withdrawals. */
        std::function<targets::Target(const targets::Target &)> asWithdrawn;
    };

    explicit TargetRegistry(Dependencies parts);

    /** Takes @p target's own announcement, with a lease until @p leaseEnd. */
    targets::UpdateResult announce(targets::Target target, core::TimePoint leaseEnd);

    /** Takes what @p teller says of a target. */
    void learn(const targets::Target &target, membership::UpdateSource teller = membership::UpdateSource::Own);

    /** Ends the leases that have run out. */
    void expire(core::TimePoint now);

    /** Keeps the leases that @p origin kept, which is silent. */
    void adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd);

    /** A target with the latest sequence that it gave itself here. */
    std::optional<targets::Target> find(const core::TargetId &id) const;

private:
    const Dependencies m_parts;
    targets::TargetTable m_table;
};

} // namespace pimentoshed::control
