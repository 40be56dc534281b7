/**
 * @file
 * Sends refusals to callers.
 */
#pragma once

#include "entry/callerhandlerdependencies.h"
#include "http/exchange.h"
#include "requests/outcome.h"

#include <optional>

namespace pimentoshed::entry
{

/** Refuses requests, and tells callers when to return. */
class Refusals
{
public:
    explicit Refusals(const CallerHandlerDependencies &dependencies);

    /**
     * Sends a refusal of a request to @p service, if it is known. Ran is sent as Unknown: it means that a target sent a
     * complete response, which this caller did not get, and a refusal can't say so. @p retryAfter is when the caller
     * may return, if that doesn't follow from the outcome and the service.
     */
    void refuse(http::Exchange &exchange,
                requests::RequestOutcome outcome,
                const core::ServiceName *service = nullptr,
                std::optional<core::Duration> retryAfter = {}) const;

private:
    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
