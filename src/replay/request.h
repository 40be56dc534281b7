/**
 * @file
 * The requests of a replay and their attempts.
 */
#pragma once

#include "replay/trace.h"
#include "requests/requestattempts.h"
#include "routing/servicerouter.h"

#include <map>
#include <memory>

namespace pimentoshed::replay
{

/** One attempt, which was sent to a target. */
struct SentAttempt {
    std::size_t request = 0;
    requests::AttemptIndex attempt = 0;
    routing::Assignment assignment;
    core::TimePoint start{};
    /** Whether the attempt runs at its target and holds a slot there. */
    bool isRunning = false;
    bool isCancelled = false;
};

/** A caller's request, from its arrival on. */
struct Request {
    RequestArrival arrival;
    core::TimePoint start{};
    /** One-way delay to the host that serves the request, if another host received it. */
    core::Duration relayDelay{};
    /** Index of the host that serves the request. */
    std::size_t host = 0;
    std::unique_ptr<requests::RequestAttempts> attempts;
    /** Number of attempts that a target has run. */
    unsigned timesRun = 0;
    /** Attempts that were sent, by index. */
    std::map<requests::AttemptIndex, std::shared_ptr<SentAttempt>> sentAttempts;
};

} // namespace pimentoshed::replay
