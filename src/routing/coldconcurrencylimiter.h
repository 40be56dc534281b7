/**
 * @file
 * Concurrency limit for cold targets at one entry host: combines the ownership of a target with the ramp of its owner.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "membership/ownership.h"
#include "routing/attemptend.h"
#include "routing/servicerouter.h"
#include "targets/coldramp.h"
#include "targets/target.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pimentoshed::routing
{

/** Whether a target announces itself when it is warm. */
using AnnouncesWarmHook = std::function<bool(const targets::Target &)>;

/**
 * Keeps the requests of all entry hosts at a cold target within the service's cold slots: only the host that owns the
 * target sends requests to it. Thread-safe; lock rank ColdTargets.
 */
class ColdConcurrencyLimiter
{
public:
    ColdConcurrencyLimiter(core::HostId self, std::uint64_t incarnation, AnnouncesWarmHook announcesWarm = nullptr);

    void configure(std::shared_ptr<const configuration::Configuration> configuration);

    /** Takes an ownership view if it is newer than the known one, and drops the ramps of targets that it takes away. */
    void updateView(const membership::OwnershipView &view);

    /** Marks view @p number as settled. Ignored unless it is the newest view known here. */
    void settleView(std::uint64_t number);

    /**
     * Extends this host's permission: at @p now, the response came to a request that was sent at @p sentAt. If the
     * permission had ended before, all ramps are dropped, as another host may have owned the targets since.
     */
    void confirmPermission(core::TimePoint sentAt, core::TimePoint now);

    /** Number of the ownership view to acknowledge to the control hosts. */
    std::uint64_t acknowledgedView() const;

    /** Requests that this host may have at @p target at once; 0 if it doesn't own the target. A ColdLimitHook. */
    unsigned limit(const targets::Target &target, core::TimePoint now);

    /** Records the end of a request at the cold target @p target. Cancelled requests are ignored. */
    void recordEnd(const targets::Target &target,
                   const AttemptEnd &end,
                   core::Duration lateThreshold,
                   core::TimePoint now);

    /** Sets the number of other hosts' requests, as reported by the target after this host became its owner. */
    void setForeignRequests(const targets::Target &target, unsigned inProgress);

private:
    struct Entry {
        targets::AnnouncementVersion version;
        core::FailureDomain domain;
        targets::ColdRamp ramp;
    };

    bool owns(const targets::Target &target, core::TimePoint now) const;
    targets::ColdRampOptions rampOptions(const configuration::Service &service, const targets::Target &target) const;

    const AnnouncesWarmHook m_announcesWarm;
    mutable core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    membership::OwnershipParticipant m_ownership;
    std::shared_ptr<const configuration::Configuration> m_configuration;
    std::unordered_map<core::TargetId, Entry> m_owned;
};

} // namespace pimentoshed::routing
