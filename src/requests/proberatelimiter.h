/**
 * @file
 * How often this host may probe a target, so that all hosts together keep the target's budget.
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
 * Only the owner of a target probes it, at the service's rate, and the first time one whole interval after it became
 * the owner: over any time, through any number of handovers, a target gets at most the rate times that time, and one.
 * Thread-safe; rank Requests.
 */
class ProbeRateLimiter
{
public:
    /**
     * Whether to probe @p target now; @p owned is whether this host owns it at @p now. Ask for every known target in
     * each probing period, owned or not, so that the end of an ownership is noticed.
     */
    bool tryAcquire(const core::TargetId &target, double probesPerSecond, bool owned, core::TimePoint now);

private:
    core::RankedMutex m_mutex{core::LockRank::Requests};
    /** From when on each owned target may be probed. */
    std::unordered_map<core::TargetId, core::TimePoint> m_next;
};

} // namespace pimentoshed::requests
