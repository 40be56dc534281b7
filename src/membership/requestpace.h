/**
 * @file
 * Divides the requests per second that a target takes from all entry hosts together among the hosts.
 */
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <vector>

namespace pimentoshed::membership
{

/** The entry hosts as far as they share the requests to one target. */
struct RequestSenders {
    /** The hosts to which callers of the target's service and failure domain are led. */
    std::vector<core::HostId> usualHosts;
    /** All entry hosts, those included. */
    std::size_t hostCount = 1;
};

/** How often one host may send requests to a target: one per interval, of which up to @c burst may follow at once. */
struct RequestPace {
    core::Duration interval{};
    unsigned burst = 1;

    bool operator==(const RequestPace &) const = default;
};

/**
 * Returns the pace of the requests of the host @p self to @p target, which takes @p limit requests per second. Some of
 * the usual hosts, chosen by rendezvous hashing, share most of the limit. They are fewer the lower the limit is,
 * because each of them may send a request at the same moment. All other hosts share the rest: they seldom send, but
 * often enough to notice when the limit ends. The rates of all hosts add up to @p limit without any messages between
 * them, as long as they know the same hosts.
 */
RequestPace requestPace(const core::TargetId &target,
                        double limit,
                        const RequestSenders &senders,
                        const core::HostId &self);

} // namespace pimentoshed::membership
