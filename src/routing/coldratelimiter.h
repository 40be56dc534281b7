/**
 * @file
 * Rate limit for the requests that this host sends to a cold target.
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
 * For services that limit the requests per second to a cold target. Only one host, the owner of the target, sends to
 * it, evenly spaced at three quarters of the limit: if two hosts both count as the owner while their host lists differ,
 * the target gets at most one and a half times the limit plus two requests. Thread-safe; lock rank
 * ColdTargets.
 */
class ColdRateLimiter
{
public:
    explicit ColdRateLimiter(membership::Member self);

    /** Sets the entry hosts that share the cold targets. The list counts as current until @p currentUntil. */
    void setHosts(membership::OwnershipView hosts, core::TimePoint currentUntil);

    /** Whether this host may send a request to the cold target @p target now. */
    bool canSend(const targets::Target &target, const configuration::Service &service, core::TimePoint now);

    /** Records that a request was sent to the cold target @p target at @p now. */
    void recordSent(const targets::Target &target, const configuration::Service &service, core::TimePoint now);

private:
    bool owns(const targets::Target &target, core::TimePoint now) const;

    const membership::Member m_self;
    core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    membership::OwnershipView m_hosts;
    core::TimePoint m_currentUntil{};
    /** Time from which each target may be sent the next request. */
    std::unordered_map<core::TargetId, core::TimePoint> m_nextSend;
};

} // namespace pimentoshed::routing
