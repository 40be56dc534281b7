/**
 * @file
 * Serves a registry over HTTP.
 */
#pragma once

#include "http/server.h"
#include "telemetry/registry.h"

namespace pimentoshed::telemetry
{

/** Answers /metrics from @p registry and leaves every other path to @p next. */
http::Handler withMetrics(Registry &registry, http::Handler next);

} // namespace pimentoshed::telemetry
