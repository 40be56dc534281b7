/**
 * @file
 * The callers' side of an entry host: which addresses to use, and their requests.
 */
#pragma once

#include "core/timerservice.h"
#include "entry/clusterview.h"
#include "entry/requestscheduler.h"
#include "entry/retrypolicy.h"
#include "http/connectionpool.h"
#include "http/protocolhooks.h"
#include "http/server.h"
#include "routing/router.h"
#include "targets/targettable.h"
#include "telemetry/registry.h"

#include <functional>

namespace pimentoshed::entry
{

/** What varies between entry hosts in how they serve callers. */
struct CallerHandlerOptions {
    /** Bytes of an answer that are held back until it is whole, so that a broken one can be replaced. */
    std::size_t answerBufferBytes = 0;
    /** Targets that are asked for their load before each attempt; 0 asks none. */
    std::size_t probesPerRound = 0;
    /** All answers to such questions that come later are not waited for. */
    core::Duration probeTimeout = std::chrono::milliseconds(8);
};

/** What the front works with. */
struct CallerHandlerDependencies {
    ClusterView &view;
    targets::TargetTable &targets;
    routing::Router &router;
    http::ConnectionPool &connections;
    RequestScheduler &waiting;
    core::TimerService &timers;
    core::RandomSource random;
    /** This host as it reports itself; it leaves the address answers once it is stopping. */
    std::function<membership::EntryHost()> self;
    /** Whether a failed attempt is followed by another. */
    RetryHook mayRetry;
    /** Told of each first attempt. */
    std::function<void(const configuration::Service &)> firstAttempt;
    /** Hears of each request that ended. */
    std::function<void(const telemetry::CompletedRequest &)> ended;
    http::ProtocolHooks marking;
    CallerHandlerOptions terms;
};

/** The handler for an entry host's caller address. docs/INTERFACES.md lists what it serves. */
http::Handler makeCallerHttpHandler(CallerHandlerDependencies parts);

} // namespace pimentoshed::entry
