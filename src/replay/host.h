/**
 * @file
 * A simulated entry host: the parts that decide on requests, without network and threads.
 */
#pragma once

#include "admission/queue.h"
#include "replay/replay.h"
#include "requests/retrybudget.h"
#include "routing/coldconcurrencylimiter.h"
#include "routing/servicerouter.h"

#include <map>
#include <memory>
#include <set>

namespace pimentoshed::replay
{

/** The state of one entry host. Not thread-safe. */
struct Host {
    core::FailureDomain domain;
    std::unique_ptr<routing::ColdConcurrencyLimiter> coldLimiter;
    std::unique_ptr<routing::ServiceRouter> router;
    std::unique_ptr<admission::Queue> queue;
    std::unique_ptr<requests::RetryBudget> budget;
    /** The failure domains that are out of service. */
    std::set<core::FailureDomain> outDomains;
    /** Index of each queued request, by its ticket. */
    std::map<admission::Ticket, std::size_t> queued;
};

core::HostId hostId(std::size_t index);

/** Creates the entry host at @p index of the trace. Its router has all of its targets from the start. */
Host makeHost(const Trace &trace, std::size_t index, const Policy &policy, const core::RandomSource &random);

/** Passes a target's announcement to the router of @p host, if the host sends to that target under @p policy. */
void updateTarget(Host &host, const targets::Target &target, const Policy &policy);

} // namespace pimentoshed::replay
