/**
 * @file
 * Serves the metrics over HTTP.
 */
#pragma once

#include "http/server.h"
#include "telemetry/registry.h"

namespace pimentoshed::telemetry
{

/** Returns a handler that answers GET /metrics from @p registry, and passes all other requests to @p next. */
http::Handler withMetrics(Registry &registry, http::Handler next);

} // namespace pimentoshed::telemetry
