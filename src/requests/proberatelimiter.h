/**
 * @file
 * Rate limit for this host's probes of a target, such that all hosts together stay within the target's rate.
 */
#pragma once

#include "core/ids.h"
#include "core/rankedmutex.h"
#include "core/time.h"

#include <functional>
#include <unordered_map>

namespace pimentoshed::requests
{

/**
 * Only the owner of a target probes it, at the service's rate, and for the first time one whole interval after it
 * became the owner. So over any time, a target gets at most the rate times that time plus one probe, however often its
 * owner changes. Thread-safe; lock rank Requests.
 */
class ProbeRateLimiter
{
public:
    /**
     * Returns whether to probe @p target now. @p isOwner is whether this host owns the target at @p now. Must be called
     * for every known target in each probing period, owned or not, so that the end of an ownership is noticed.
     */
    bool tryAcquire(const core::TargetId &target, double probesPerSecond, bool isOwner, core::TimePoint now);

private:
    core::RankedMutex m_mutex{core::LockRank::Requests};
    /** Time from which each owned target may be probed. */
    std::unordered_map<core::TargetId, core::TimePoint> m_nextProbe;
};

} // namespace pimentoshed::requests
