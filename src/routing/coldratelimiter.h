/**
 * @file
 * How often this host may send to a target that is cold.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "membership/ownership.h"
#include "targets/target.h"

#include <unordered_map>

namespace pimentoshed::routing
{

/**
 * For services that bound the requests a second of a cold target. Of all hosts one sends to it, evenly spaced at three
 * quarters of the bound: should two hosts take themselves for that one while their lists differ, a target gets at most
 * one and a half times the bound and two. Thread-safe; rank ColdTargets.
 */
class ColdRateLimiter
{
public:
    explicit ColdRateLimiter(membership::Member self);

    /** Takes the entry hosts that share out the cold targets, as known to be current until @p end. */
    void setHosts(membership::OwnershipView hosts, core::TimePoint end);

    /** Whether @p target, which is cold, may be given a request now. */
    bool canSend(const targets::Target &target, const configuration::Service &service, core::TimePoint now);

    /** Notes that it was given one. */
    void recordSent(const targets::Target &target, const configuration::Service &service, core::TimePoint now);

private:
    bool owns(const targets::Target &target, core::TimePoint now) const;

    const membership::Member m_self;
    core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    membership::OwnershipView m_hosts;
    core::TimePoint m_end{};
    /** From when on each target may be given the next. */
    std::unordered_map<core::TargetId, core::TimePoint> m_next;
};

} // namespace pimentoshed::routing
