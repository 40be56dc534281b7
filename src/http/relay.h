/**
 * @file
 * Passes a caller's request to a target and the answer back, in pieces of bounded size.
 */
#pragma once

#include "core/time.h"
#include "http/connectionpool.h"
#include "http/exchange.h"
#include "requests/outcome.h"

#include <cstdint>
#include <string>

namespace pimentoshed::http
{

/** One attempt's terms. */
struct RelayTerms {
    std::string address;
    core::TimePoint deadline{};
    std::uint64_t maxRequestBytes = 0;
    /** Whether the target's own 503 proves that the request was not run. */
    bool shedIsNotRun = false;
};

/** How far an attempt came. */
struct RelayResult {
    requests::Outcome outcome;
    /** Whether any of the answer went to the caller, so that nothing else can. */
    bool answered = false;
    /** Whether any of the request's body was taken from the caller, so that it can't be sent again. */
    bool bodyTaken = false;
    /** From the end of the sending to the head of the answer. */
    core::Duration waited{};
};

/** Runs one attempt within the exchange's coroutine. */
RelayResult relay(Exchange &exchange, ConnectionPool &pool, const RelayTerms &terms);

} // namespace pimentoshed::http
