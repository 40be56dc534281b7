/**
 * @file
 * Log lines about callers' requests.
 */
#pragma once

#include "entry/activerequest.h"
#include "entry/callerhandlerdependencies.h"
#include "http/relay.h"

namespace pimentoshed::entry
{

/** Writes the log lines of requests, each with the ID that the caller gave the request. */
class RequestLog
{
public:
    explicit RequestLog(const CallerHandlerDependencies &dependencies);

    /** Logs a refusal for lack of a current configuration. */
    void logNotCurrent(const http::Exchange &exchange, const core::Error &error) const;

    void logRefusal(const ActiveRequest &request) const;

    void logFailure(const ActiveRequest &request, const targets::Target &target, const http::RelayResult &result) const;

    /** Logs a response whose status refuses the request, from a target that doesn't prove that it did not run it. */
    void logUnprovenRefusal(const ActiveRequest &request,
                            const targets::Target &target,
                            const http::RelayResult &result) const;

    /** Logs, for debugging, a second attempt at @p second that begins @p delay after the one at @p first. */
    void logHedge(const ActiveRequest &request,
                  const targets::Target &first,
                  const targets::Target &second,
                  core::Duration delay) const;

    /** Logs a request that was answered after its objective, with where its time went. */
    void logIfLate(const ActiveRequest &request,
                   const routing::Assignment &assignment,
                   const http::RelayResult &result) const;

private:
    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
