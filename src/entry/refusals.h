/**
 * @file
 * Sends refusals to callers.
 */
#pragma once

#include "entry/callerhandlerdependencies.h"
#include "http/exchange.h"
#include "requests/outcome.h"

namespace pimentoshed::entry
{

/** Refuses requests, and tells callers when to return. */
class Refusals
{
public:
    explicit Refusals(const CallerHandlerDependencies &dependencies);

    /**
     * Sends a refusal of a request to @p service, if it is known. Ran is sent as Unknown: it means that a target sent a
     * complete response, which this caller did not get, and a refusal can't say so.
     */
    void refuse(http::Exchange &exchange,
                requests::RequestOutcome outcome,
                const core::ServiceName *service = nullptr) const;

private:
    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
