/**
 * @file
 * The requests of a replay and their attempts.
 */
#pragma once

#include "replay/trace.h"
#include "requests/outcome.h"
#include "routing/servicerouter.h"

#include <vector>

namespace pimentoshed::replay
{

/** A caller's request, from its arrival on. */
struct Request {
    RequestArrival arrival;
    core::TimePoint start{};
    std::vector<core::TargetId> triedTargets;
    /** Whether the request ran, as its host knows from the attempts that have ended. */
    requests::RunState runState = requests::RunState::NotRun;
    /** Number of attempts that a target has run. */
    unsigned timesRun = 0;
};

/** One attempt, which was sent to a target. */
struct SentAttempt {
    /** Index of the request. */
    std::size_t request = 0;
    routing::Assignment assignment;
    core::TimePoint start{};
};

} // namespace pimentoshed::replay
