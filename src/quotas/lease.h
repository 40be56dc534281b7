/**
 * @file
 * What entry hosts and the leader of the control hosts say to each other about the requests of workspaces.
 */
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoshed::quotas
{

/** The number of a call. No two calls of a host have the same one, also across restarts. Never 0. */
using CallNumber = std::uint64_t;

/** How many requests of a workspace a host wants to send. */
struct Ask {
    core::WorkspaceName workspace;
    /** Requests that wait for the answer. */
    unsigned waiting = 0;
    /** Requests that the host expects. */
    unsigned ahead = 0;
};

/** What was not used of the lease that an earlier call got. */
struct Return {
    core::WorkspaceName workspace;
    CallNumber call = 0;
    unsigned requests = 0;
};

/** One call of an entry host. */
struct LeaseCall {
    core::HostId host;
    CallNumber number = 0;
    std::vector<Ask> asks;
    std::vector<Return> returns;
};

/** The answer to one ask: a lease, a refusal of what waits, or both. */
struct Grant {
    core::WorkspaceName workspace;
    unsigned requests = 0;
    /** How long the requests may be sent, counted from the time of the call. */
    core::Duration lifetime{};
    /**
     * If fewer requests are granted than wait: when the workspace can send again. Zero if the leader is so new that it
     * doesn't know whether the rest is over the quota.
     */
    core::Duration retryAfter{};
};

/** Unset if the answering host is not certain to be the only leader. */
using LeaseAnswer = std::optional<std::vector<Grant>>;

} // namespace pimentoshed::quotas
