/**
 * @file
 * What the steps of a caller's request share at one entry host.
 */
#pragma once

#include "core/timerservice.h"
#include "entry/clusterview.h"
#include "entry/requestscheduler.h"
#include "http/connectionpool.h"
#include "http/protocolhooks.h"
#include "quotas/decision.h"
#include "requests/hedge.h"
#include "requests/requestsinprogress.h"
#include "requests/retrypolicy.h"
#include "requests/stoprule.h"
#include "rollouts/activerollouts.h"
#include "routing/router.h"
#include "targets/targettable.h"
#include "telemetry/registry.h"

#include <functional>
#include <optional>

namespace pimentoshed::entry
{

/** Options of the caller handler. */
struct CallerHandlerOptions {
    /** Bytes of a response buffered until it is complete, so that a retry can replace a truncated response. */
    std::size_t answerBufferBytes = 0;
    /** The most targets probed for their load at once before an attempt; 0 disables probes. */
    std::size_t probesPerRound = 0;
    /**
     * Probes without a response after this part of the route's objective are given up, within the bounds below. A host
     * with a small share of a processor takes many milliseconds for a probe on a new connection.
     */
    int probeTimeoutDivisor = 16;
    core::Duration minProbeTimeout = std::chrono::milliseconds(8);
    core::Duration maxProbeTimeout = std::chrono::milliseconds(60);
};

/** Dependencies of the caller handler. */
struct CallerHandlerDependencies {
    ClusterView &view;
    targets::TargetTable &targets;
    routing::Router &router;
    http::ConnectionPool &connections;
    RequestScheduler &scheduler;
    requests::RequestsInProgress &requestsInProgress;
    rollouts::ActiveRollouts &rollouts;
    core::TimerService &timers;
    core::RandomSource random;
    /** Returns this host's current record; responses with addresses omit this host once it is stopping. */
    std::function<membership::EntryHost()> self;
    /** Decides whether a failed attempt is retried. */
    requests::RetryHook mayRetry;
    /** Decide on second attempts beside slow first ones; if empty, there are none. */
    requests::HedgeHooks hedging;
    /** Called before the first attempt of each request, with its service. */
    std::function<void(const configuration::Service &)> onFirstAttempt;
    /** Called at the end of each request that was relayed or refused. */
    std::function<void(const telemetry::CompletedRequest &)> onRequestEnd;
    /** Called for each refusal of a request for its key. */
    std::function<void(const core::RouteName &)> onKeyRefused;
    /** The stop of this host; nothing unless it is stopping. */
    std::function<std::optional<requests::HostStop>()> hostStop;
    /** Called only for requests of limited workspaces. */
    quotas::SpendHook spendQuota;
    quotas::GiveBackHook giveBackQuota;
    http::ProtocolHooks protocolHooks;
    CallerHandlerOptions options;
};

} // namespace pimentoshed::entry
