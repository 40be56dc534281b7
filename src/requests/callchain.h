/**
 * @file
 * What a request carries along a chain of calls, so that only one level of the chain repeats it.
 */
#pragma once

namespace pimentoshed::requests
{

/** As received with a request. Front ends carry it in a header of theirs; a caller that sends none starts a chain. */
struct CallChain {
    /** Calls above this one. */
    unsigned depth = 0;
    /** Whether this call is a retry or a hedge of some level above. */
    bool isRetryOrHedge = false;

    bool operator==(const CallChain &) const = default;

    /** What an attempt carries on to its target. */
    CallChain nextLevel(bool repeat) const
    {
        return {depth + 1, isRetryOrHedge || repeat};
    }
};

} // namespace pimentoshed::requests
