/**
 * @file
 * The decisions of one entry host, put together as a replay needs them.
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

/** Not thread-safe. */
struct Host {
    core::FailureDomain domain;
    std::unique_ptr<routing::ColdConcurrencyLimiter> cold;
    std::unique_ptr<routing::ServiceRouter> router;
    std::unique_ptr<admission::Queue> queue;
    std::unique_ptr<requests::RetryBudget> budget;
    std::set<core::FailureDomain> out;
    /** The requests that wait, by ticket. */
    std::map<admission::Ticket, std::size_t> waiting;
};

core::HostId hostId(std::size_t index);

/** The entry host at @p index of the trace, which knows all targets from the start. */
Host makeHost(const Trace &trace, std::size_t index, const Policy &policy, const core::RandomSource &random);

/** Gives @p host a target's word, where it sends to that target under @p policy. */
void updateTarget(Host &host, const targets::Target &target, const Policy &policy);

} // namespace pimentoshed::replay
