/**
 * @file
 * A simulated entry host: the parts that decide on requests, without network and threads.
 */
#pragma once

#include "admission/queue.h"
#include "replay/replay.h"
#include "requests/retrypolicy.h"
#include "routing/coldtargetlimiter.h"
#include "routing/servicerouter.h"

#include <map>
#include <memory>
#include <set>

namespace pimentoshed::replay
{

/** The state of one entry host. Not thread-safe. */
struct Host {
    core::FailureDomain domain;
    std::unique_ptr<routing::ColdTargetLimiter> coldLimiter;
    std::unique_ptr<routing::ServiceRouter> router;
    std::unique_ptr<admission::Queue> queue;
    std::unique_ptr<requests::RetryBudgets> retryBudgets;
    /** The failure domains that are out of service. */
    std::set<core::FailureDomain> outDomains;
    /** Index of each queued request, by its ticket. */
    std::map<admission::Ticket, std::size_t> queued;
};

/** Returns the entry host at @p index of the trace as a member among which cold targets are divided. */
membership::Member memberOf(const Trace &trace, std::size_t index);

/** Creates the entry host at @p index of the trace. Its router has all targets from the start. */
Host makeHost(const Trace &trace, std::size_t index, const Policy &policy, const core::RandomSource &random);

} // namespace pimentoshed::replay
