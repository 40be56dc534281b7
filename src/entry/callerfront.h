/**
 * @file
 * The callers' side of an entry host: which addresses to use, and their requests.
 */
#pragma once

#include "core/timerservice.h"
#include "entry/retry.h"
#include "entry/view.h"
#include "entry/waitingroom.h"
#include "http/connectionpool.h"
#include "http/marking.h"
#include "http/server.h"
#include "routing/router.h"
#include "targets/targettable.h"
#include "telemetry/registry.h"

#include <functional>

namespace pimentoshed::entry
{

/** What varies between entry hosts in how they serve callers. */
struct CallerTerms {
    /** Bytes of an answer that are held back until it is whole, so that a broken one can be replaced. */
    std::size_t holdBytes = 0;
    /** Targets that are asked for their load before each attempt; 0 asks none. */
    std::size_t looks = 0;
    /** All answers to such questions that come later are not waited for. */
    core::Duration lookPatience = std::chrono::milliseconds(8);
};

/** What the front works with. */
struct CallerParts {
    View &view;
    targets::TargetTable &targets;
    routing::Router &router;
    http::ConnectionPool &connections;
    WaitingRoom &waiting;
    core::TimerService &timers;
    core::RandomSource random;
    /** This host as it reports itself; it leaves the address answers once it is stopping. */
    std::function<membership::EntryHost()> self;
    /** Whether a failed attempt is followed by another. */
    RetryHook mayRetry;
    /** Told of each first attempt. */
    std::function<void(const configuration::Service &)> firstAttempt;
    /** Hears of each request that ended. */
    std::function<void(const telemetry::RequestEnd &)> ended;
    http::Marking marking;
    CallerTerms terms;
};

/** The handler for an entry host's caller address. docs/INTERFACES.md lists what it serves. */
http::Handler callerHandler(CallerParts parts);

} // namespace pimentoshed::entry
