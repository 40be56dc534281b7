/**
 * @file
 * The targets' side of an entry host: announcements; and its state for operators.
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

/** What the front works with. */
struct TargetHandlerDependencies {
    ClusterView &view;
    targets::TargetTable &targets;
    core::TimerService &timers;
    std::function<membership::EntryHost()> self;
    /** Passes a changed word on. */
    std::function<void(const targets::Target &)> report;
    std::function<std::size_t()> inProgress;
    /** Hears of each announcement and its answer, with the bytes of their bodies. */
    std::function<void(telemetry::ControlMessage, telemetry::Direction, std::size_t)> traffic;
};

/** The handler for an entry host's platform address. docs/INTERFACES.md lists what it serves. */
http::Handler makeTargetHttpHandler(TargetHandlerDependencies parts);

} // namespace pimentoshed::entry
