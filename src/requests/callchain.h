/**
 * @file
 * Data that a request carries along a chain of calls, so that only one level of the chain retries or hedges it.
 */
#pragma once

namespace pimentoshed::requests
{

/** Received with a request, in a header that the front end defines. A request without it starts a new chain. */
struct CallChain {
    /** Number of calls above this one. */
    unsigned depth = 0;
    /** Whether this call is a retry or a hedge by some level above. */
    bool isRetryOrHedge = false;

    bool operator==(const CallChain &) const = default;

    /** Call chain to send with an attempt to its target; @p isSentAgain if the attempt is a retry or a hedge. */
    CallChain nextLevel(bool isSentAgain) const
    {
        return {depth + 1, isRetryOrHedge || isSentAgain};
    }
};

} // namespace pimentoshed::requests
