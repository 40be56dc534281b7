/**
 * @file
 * The cold targets of one entry host: joins who owns a target with how much its owner may give it.
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

/** Whether a target says itself when it is warm. */
using AnnouncesWarmHook = std::function<bool(const targets::Target &)>;

/**
 * The sum over all entry hosts of requests at a cold target stays within the service's cold slots: a host that doesn't
 * own it gives it none. Thread-safe; rank ColdTargets.
 */
class ColdConcurrencyLimiter
{
public:
    ColdConcurrencyLimiter(core::HostId self, std::uint64_t incarnation, AnnouncesWarmHook announcesWarm = nullptr);

    void configure(std::shared_ptr<const configuration::Configuration> configuration);

    void updateView(const membership::OwnershipView &view);
    void settleView(std::uint64_t number);
    void confirmPermission(core::TimePoint asked, core::TimePoint now);
    std::uint64_t acknowledgedView() const;

    /** Requests that this host may have at @p target at once: the router's hook. */
    unsigned limit(const targets::Target &target, core::TimePoint now);

    /** Takes the end of a request at @p target, which was cold. */
    void recordEnd(const targets::Target &target, const AttemptEnd &end, core::Duration lateAfter, core::TimePoint now);

    /** Takes the target's own count of requests that are not this host's, asked for after this host gained it. */
    void setForeignRequests(const targets::Target &target, unsigned inProgress);

private:
    struct Entry {
        targets::AnnouncementVersion word;
        core::FailureDomain domain;
        targets::ColdRamp ramp;
    };

    bool owns(const targets::Target &target, core::TimePoint now) const;
    targets::ColdRampOptions terms(const configuration::Service &service, const targets::Target &target) const;

    const AnnouncesWarmHook m_announcesWarm;
    mutable core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    membership::OwnershipParticipant m_ownership;
    std::shared_ptr<const configuration::Configuration> m_configuration;
    std::unordered_map<core::TargetId, Entry> m_owned;
};

} // namespace pimentoshed::routing
