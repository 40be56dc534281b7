/**
 * @file
 * Paces this host's requests to targets that limit the requests per second from all hosts together.
 */
#pragma once

#include "core/rankedmutex.h"
#include "membership/requestpace.h"
#include "targets/target.h"

#include <functional>

namespace pimentoshed::routing
{

/** Returns the hosts that share the requests to the targets of a service in a failure domain. */
using RequestSendersHook =
    std::function<membership::RequestSenders(const core::ServiceName &, const core::FailureDomain &)>;

/** Keeps the hosts that share each target's requests. Thread-safe; lock rank ColdTargets. */
class RequestPacer
{
public:
    explicit RequestPacer(core::HostId self);

    /** Sets the hook that finds the hosts. It must not lock a mutex of a rank up to ColdTargets. */
    void setSenders(RequestSendersHook senders);

    /** Returns the pace of this host's requests to @p target, which names @p limit. */
    membership::RequestPace paceFor(const targets::Target &target, double limit) const;

private:
    const core::HostId m_self;
    mutable core::RankedMutex m_mutex{core::LockRank::ColdTargets};
    RequestSendersHook m_senders;
};

} // namespace pimentoshed::routing
