/**
 * @file
 * Decides which requests a stopping host still sends to targets.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::requests
{

/** The stop of a host. */
struct HostStop {
    /** Until when requests that arrive may be sent by an estimate of how long they take. */
    core::TimePoint estimateEnd{};
    /** When the host ends and cuts the requests in progress. */
    core::TimePoint end{};
};

/** A request that is about to be sent to a target, as input to the decision of a stopping host. */
struct SendDuringStop {
    bool idempotent = false;
    core::TimePoint arrival{};
    core::TimePoint now{};
    /** When the request's time ends. */
    core::TimePoint deadline{};
    /** The usual processing time of its service; zero if unknown. */
    core::Duration usualProcessingTime{};
};

/**
 * Whether @p request may still be sent to a target. It must have ended when its host does, so it counts with all the
 * time that it has: no estimate bounds what a single request takes. Only an idempotent request that arrives early in
 * the stop counts with a multiple of the usual processing time of its service; if it takes longer, it is cut.
 */
bool canEndBefore(const HostStop &stop, const SendDuringStop &request);

} // namespace pimentoshed::requests
