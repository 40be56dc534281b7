/**
 * @file
 * The callers' side of an entry host: which addresses to use, and their requests.
 */
#pragma once

#include "core/timerservice.h"
#include "entry/retry.h"
#include "entry/view.h"
#include "http/connectionpool.h"
#include "http/server.h"
#include "routing/router.h"
#include "targets/targettable.h"
#include "telemetry/registry.h"

#include <functional>

namespace pimentoshed::entry
{

/** What the front works with. */
struct CallerParts {
    View &view;
    targets::TargetTable &targets;
    routing::Router &router;
    http::ConnectionPool &connections;
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
};

/** The handler for an entry host's caller address. docs/INTERFACES.md lists what it serves. */
http::Handler callerHandler(CallerParts parts);

} // namespace pimentoshed::entry
