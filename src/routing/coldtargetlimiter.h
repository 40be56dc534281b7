/**
 * @file
 * Limits the requests that this host sends to cold targets.
 */
#pragma once

#include "configuration/model.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "membership/ownership.h"
#include "targets/target.h"

#include <unordered_map>
#include <vector>

namespace pimentoshed::routing
{

/** Until when a list of entry hosts counts. */
struct HostListTimes {
    /** This host acts on the list until then. */
    core::TimePoint currentUntil{};
    /** Once the list is replaced, other hosts may act on it, and their requests may run, for this long. */
    core::Duration handover{};
};

/**
 * Only one host, the owner of a cold target, sends to it. Hosts find the owner from their lists of entry hosts, which
 * may differ for a short time.
 *
 * If the service limits the requests per second to a cold target, the owner sends them evenly spaced at three quarters
 * of the limit: with two owners the target gets at most one and a half times the limit plus two requests. Otherwise the
 * service's cold slots limit the requests at a time. Then a new owner sends nothing during the handover: until hosts
 * with an older list no longer count as current and the requests that they sent have ended.
 *
 * Thread-safe; lock rank ColdTargets.
 */
class ColdTargetLimiter
{
public:
    explicit ColdTargetLimiter(membership::Member self);

    /** Sets the list of entry hosts at @p now. */
    void setHosts(std::vector<membership::Member> hosts, core::TimePoint now, const HostListTimes &times);

    /** Whether this host may send a request to the cold target @p target now. */
    bool canSend(const targets::Target &target, const configuration::Service &service, core::TimePoint now);

    /** Records that a request was sent to the cold target @p target at @p now. */
    void recordSent(const targets::Target &target, const configuration::Service &service, core::TimePoint now);

private:
    /** A replaced list. It is empty for a time in which this host was not current, when any host may have sent. */
    struct OldList {
        std::vector<membership::Member> hosts;
        core::TimePoint handoverEnd{};
    };

    bool isOwnedBySelf(const std::vector<membership::Member> &hosts, const targets::Target &target) const;

    const membership::Member m_self;
    core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    std::vector<membership::Member> m_hosts;
    core::TimePoint m_currentUntil{};
    /** Those whose handover has not ended. */
    std::vector<OldList> m_oldLists;
    /** For services with a rate limit: time from which each target may be sent the next request. */
    std::unordered_map<core::TargetId, core::TimePoint> m_nextSend;
};

} // namespace pimentoshed::routing
