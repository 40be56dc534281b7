/**
 * @file
 * Relays a caller's request to a target and the response back, in pieces of bounded size.
 */
#pragma once

#include "core/time.h"
#include "http/connectionpool.h"
#include "http/exchange.h"
#include "http/protocolhooks.h"
#include "http/stallbudget.h"
#include "requests/attemptstage.h"
#include "requests/outcome.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace pimentoshed::http
{

/** Options of one attempt. */
struct RelayOptions {
    std::string address;
    core::TimePoint deadline{};
    std::uint64_t maxRequestBytes = 0;
    /** Whether a 503 response from the target proves that the request was not run. */
    bool shedIsNotRun = false;
    /** Whether the request may run more than once. */
    bool idempotent = false;
    /** Whether a response with a 5xx status is sent to the caller. If not, such a response fails the attempt. */
    bool passServerErrors = true;
    /**
     * Bytes of a response that are buffered before any is sent to the caller. A response that breaks off while it is
     * still buffered can be replaced by that of another attempt.
     */
    std::size_t answerBufferBytes = 0;
    core::TargetId target;
    /** The caller's workspace, empty if it has none. Unset in a configuration without workspaces. */
    std::optional<core::WorkspaceName> workspace;
    /** Must outlive the attempt. If null, defaultProtocolHooks() are used. */
    const ProtocolHooks *protocolHooks = nullptr;
    MinimumRate minimumRate;

    const ProtocolHooks &hooks() const;
};

/** How an attempt used its connection. */
struct ConnectionUse {
    std::uint64_t number = 0;
    /** Requests that the connection had carried before. */
    std::size_t earlierRequests = 0;
    /** Responses to other requests that were skipped. */
    unsigned strayResponses = 0;
};

/** The result of one attempt. */
struct RelayResult {
    requests::RequestOutcome outcome;
    requests::AttemptStage stage = requests::AttemptStage::NotConnected;
    /** Whether any of the response was sent to the caller, so that no other response can be sent. */
    bool sentToCaller = false;
    /** Whether the request can't be sent again, because its body was not kept. */
    bool bodyConsumed = false;
    /** Whether the caller closed its connection or read too slowly, so that it gets no further response. */
    bool callerLeft = false;
    /** Whether another attempt's response went to the caller, so that this attempt was given up. */
    bool isSuperseded = false;
    /** The signals in the target's response, if there was one. */
    std::optional<routing::TargetSignals> signals;
    /** Whether the response has a 5xx status, unless that means that the request was not run. */
    bool serverError = false;
    /** Whether the deadline passed, or another attempt won, before any byte of a response came to the sent request. */
    bool isSilent = false;
    /** Time spent waiting for the head of the response after the request's head was sent. */
    core::Duration headWaitTime{};
    ConnectionUse connection;
    /** The status of the latest response on the connection; 0 if there was none. */
    unsigned targetStatus = 0;
    /** Whether callers take that status for a proof that the request was not run, which the response doesn't give. */
    bool isUnprovenRefusal = false;
};

/** Returns @p resent, the result of sending a request again after @p first, with what both prove together. */
RelayResult combineResults(const RelayResult &first, RelayResult resent);

/**
 * Runs one attempt within the exchange's coroutine. If a reused connection turns out to be closed, the request is sent
 * once more on a new connection to the same target, provided that it is idempotent or proven not to have run.
 */
RelayResult relay(Exchange &exchange, ConnectionPool &pool, const RelayOptions &options);

/** As relay(), but starts on @p connection, on which the target has just responded to another request. */
RelayResult relayOn(std::unique_ptr<TargetConnection> connection,
                    Exchange &exchange,
                    ConnectionPool &pool,
                    const RelayOptions &options);

} // namespace pimentoshed::http
