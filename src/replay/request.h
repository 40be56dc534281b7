/**
 * @file
 * Requests and their attempts within a replay.
 */
#pragma once

#include "replay/trace.h"
#include "requests/requestattempts.h"
#include "routing/servicerouter.h"

#include <map>
#include <memory>

namespace pimentoshed::replay
{

/** One attempt under way. */
struct AttemptInFlight {
    std::size_t request = 0;
    requests::AttemptIndex attempt = 0;
    routing::Assignment assignment;
    core::TimePoint start{};
    /** Whether it holds a slot of its target. */
    bool runs = false;
    bool cancelled = false;
};

/** A caller's request from its arrival on. */
struct Request {
    RequestArrival arrival;
    core::TimePoint start{};
    core::Duration relayDelay{};
    std::size_t host = 0;
    std::unique_ptr<requests::RequestAttempts> run;
    unsigned timesRun = 0;
    /** Attempts under way, by their index. */
    std::map<requests::AttemptIndex, std::shared_ptr<AttemptInFlight>> sent;
};

} // namespace pimentoshed::replay
