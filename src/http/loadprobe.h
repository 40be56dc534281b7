/**
 * @file
 * Asks several targets for their load just before one of them is given a request.
 */
#pragma once

#include "http/connectionpool.h"
#include "http/exchange.h"
#include "http/protocolhooks.h"
#include "routing/loadreport.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::http
{

/** A target that is asked. */
struct LoadProbeTarget {
    core::TargetId id;
    std::string address;
};

/** What came of asking one target. */
struct LoadProbeResult {
    /** Nothing where it did not answer in time, or by something else than its load. */
    std::optional<routing::LoadReport> load;
    /** Whether its connection failed, or it answered something else: more than an answer that comes late. */
    bool failed = false;
    /** Where it answered: the connection, on which the next request may be sent. */
    std::unique_ptr<TargetConnection> connection;
};

/** How targets are asked. */
struct LoadProbeOptions {
    std::string path;
    /** All answers that have not come after this are given up, with their connections. */
    core::Duration timeout{};
    const ProtocolHooks &protocolHooks;
};

/** Asks all @p targets at once, within the exchange's coroutine; what came, in the same order. */
std::vector<LoadProbeResult> probeLoad(Exchange &exchange,
                                       ConnectionPool &pool,
                                       const std::vector<LoadProbeTarget> &targets,
                                       const LoadProbeOptions &terms);

} // namespace pimentoshed::http
