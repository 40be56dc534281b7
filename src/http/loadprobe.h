/**
 * @file
 * Probes the load of several targets just before one of them is selected for a request.
 */
#pragma once

#include "http/connectionpool.h"
#include "http/exchange.h"
#include "http/protocolhooks.h"
#include "routing/targetsignals.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::http
{

/** A target to probe. */
struct LoadProbeTarget {
    core::TargetId id;
    std::string address;
};

/** The result of probing one target. */
struct LoadProbeResult {
    /** Empty if the target did not respond in time, or another target did. */
    std::optional<routing::TargetSignals> signals;
    /** Whether the connection failed or another target responded. A late response is not a failure. */
    bool failed = false;
    /** Set if the target responded and keeps the connection open: the next request may be sent on it. */
    std::unique_ptr<TargetConnection> connection;
};

/** Options of a load probe. */
struct LoadProbeOptions {
    /** Path of the probe request. */
    std::string path;
    /** Probes without a response after this time are given up and their connections closed. */
    core::Duration timeout{};
    const ProtocolHooks &protocolHooks;
};

/**
 * Probes all @p targets at once, within the coroutine of @p yield, which is that of the exchange or another one on its
 * strand. Returns the results in the same order.
 */
std::vector<LoadProbeResult> probeLoad(Exchange &exchange,
                                       const Yield &yield,
                                       ConnectionPool &pool,
                                       const std::vector<LoadProbeTarget> &targets,
                                       const LoadProbeOptions &options);

} // namespace pimentoshed::http
