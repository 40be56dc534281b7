/**
 * @file
 * Decides which requests a stopping host still sends to targets.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::requests
{

/** A request that is about to be sent to a target, as input to the decision of a stopping host. */
struct SendDuringStop {
    bool idempotent = false;
    core::TimePoint now{};
    /** When the request's time ends. */
    core::TimePoint deadline{};
    /** The usual processing time of its service; zero if unknown. */
    core::Duration usualProcessingTime{};
};

/**
 * Whether @p request will have ended when its host does, at @p hostEnd. A request that may run once only must not be
 * cut, so it counts with all the time that it has; an idempotent one with a multiple of the usual processing time.
 */
bool canEndBefore(core::TimePoint hostEnd, const SendDuringStop &request);

} // namespace pimentoshed::requests
