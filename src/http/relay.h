/**
 * @file
 * Passes a caller's request to a target and the answer back, in pieces of bounded size.
 */
#pragma once

#include "core/time.h"
#include "http/connectionpool.h"
#include "http/exchange.h"
#include "http/protocolhooks.h"
#include "http/stallbudget.h"
#include "requests/attemptstage.h"
#include "requests/outcome.h"

#include <cstdint>
#include <string>

namespace pimentoshed::http
{

/** One attempt's terms. */
struct RelayOptions {
    std::string address;
    core::TimePoint deadline{};
    std::uint64_t maxRequestBytes = 0;
    /** Whether the target's own 503 proves that the request was not run. */
    bool shedIsNotRun = false;
    /** Whether the request may run more than once. */
    bool idempotent = false;
    /** Whether an answer with a server's error goes to the caller; else the attempt has failed. */
    bool passServerErrors = true;
    /** Bytes of an answer that are held back until it is whole, so that a broken one can be replaced. */
    std::size_t answerBufferBytes = 0;
    core::TargetId target;
    /** Must outlive the relay. */
    const ProtocolHooks *protocolHooks = nullptr;
    MinimumRate minimumRate;
};

/** How far an attempt came. */
struct RelayResult {
    requests::RequestOutcome outcome;
    requests::AttemptStage stage = requests::AttemptStage::NotConnected;
    /** Whether any of the answer went to the caller, so that nothing else can. */
    bool sentToCaller = false;
    /** Whether the request can't be sent again, because its body is no longer at hand. */
    bool bodyConsumed = false;
    /** Whether the caller closed its connection or was too slow, so that nobody waits for an answer. */
    bool callerLeft = false;
    /** What the target said of its load, and of its health by the answer's status. */
    std::optional<routing::LoadReport> load;
    bool serverError = false;
    /** From the end of the request until the first of the answer. */
    core::Duration headWaitTime{};
};

/**
 * Runs one attempt within the exchange's coroutine. Where a reused connection turns out to be closed, the request goes
 * once more on a new connection to the same target, if it is idempotent or proven not to have run.
 */
RelayResult relay(Exchange &exchange, ConnectionPool &pool, const RelayOptions &terms);

/** As relay(), first on @p connection, on which the target has just answered something else. */
RelayResult relayOn(std::unique_ptr<TargetConnection> connection,
                    Exchange &exchange,
                    ConnectionPool &pool,
                    const RelayOptions &terms);

} // namespace pimentoshed::http
