/**
 * @file
 * The HTTP handler for an entry host's platform address: targets' announcements, and the host's state for operators.
 */
#pragma once

#include "core/timerservice.h"
#include "entry/clusterview.h"
#include "http/server.h"
#include "targets/targettable.h"
#include "telemetry/metrics.h"

#include <functional>

namespace pimentoshed::entry
{

/** Dependencies of the target handler. */
struct TargetHandlerDependencies {
    ClusterView &view;
    targets::TargetTable &targets;
    core::TimerService &timers;
    std::function<membership::EntryHost()> self;
    /** Reports a target whose announcement changed its record. */
    std::function<void(const targets::Target &)> onTargetChanged;
    /** Returns the number of callers' requests in progress. */
    std::function<std::size_t()> requestsInProgress;
    /** Called for each announcement and each reply to one, with the bytes of its body. */
    std::function<void(telemetry::ControlMessage, telemetry::Direction, std::size_t)> onMessage;
};

/** Makes the handler for an entry host's platform address. docs/INTERFACES.md lists the paths that it serves. */
http::Handler makeTargetHttpHandler(TargetHandlerDependencies dependencies);

} // namespace pimentoshed::entry
