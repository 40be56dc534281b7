/**
 * @file
 * The cold targets of one entry host: joins who owns a target with how much its owner may give it.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "membership/ownership.h"
#include "routing/attempt.h"
#include "routing/servicerouter.h"
#include "targets/coldramp.h"
#include "targets/target.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pimentoshed::routing
{

/** Whether a target says itself when it is warm. */
using AnnouncesWarm = std::function<bool(const targets::Target &)>;

/**
 * The sum over all entry hosts of requests at a cold target stays within the service's cold slots: a host that doesn't
 * own it gives it none. Thread-safe; rank ColdTargets.
 */
class ColdTargets
{
public:
    ColdTargets(core::HostId self, std::uint64_t incarnation, AnnouncesWarm announcesWarm = nullptr);

    void configure(std::shared_ptr<const configuration::Configuration> configuration);

    void learn(const membership::OwnershipView &view);
    void settle(std::uint64_t number);
    void confirm(core::TimePoint asked, core::TimePoint now);
    std::uint64_t acknowledged() const;

    /** Requests that this host may have at @p target at once: the router's hook. */
    unsigned limit(const targets::Target &target, core::TimePoint now);

    /** Takes the end of a request at @p target, which was cold. */
    void finish(const targets::Target &target, const AttemptEnd &end, core::Duration lateAfter, core::TimePoint now);

    /** Takes the target's own count of requests that are not this host's, asked for after this host gained it. */
    void reportForeign(const targets::Target &target, unsigned inProgress);

private:
    struct Entry {
        targets::Word word;
        core::FailureDomain domain;
        targets::ColdRamp ramp;
    };

    bool owns(const targets::Target &target, core::TimePoint now) const;
    targets::ColdTerms terms(const configuration::Service &service, const targets::Target &target) const;

    const AnnouncesWarm m_announcesWarm;
    mutable core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    membership::Ownership m_ownership;
    std::shared_ptr<const configuration::Configuration> m_configuration;
    std::unordered_map<core::TargetId, Entry> m_owned;
};

} // namespace pimentoshed::routing
