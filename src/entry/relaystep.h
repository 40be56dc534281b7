/**
 * @file
 * One attempt: a request is relayed to the target that it was assigned to.
 */
#pragma once

#include "entry/requestlog.h"
#include "entry/targetassignment.h"
#include "http/relay.h"

namespace pimentoshed::entry
{

/** What surrounds each attempt, whether another one runs beside it or not. */
class RelayStep
{
public:
    RelayStep(const CallerHandlerDependencies &dependencies, const RequestLog &log);

    /** Options for an attempt at @p target; @p attempts have been sent to targets before it. */
    http::RelayOptions options(const ActiveRequest &request, const targets::Target &target, unsigned attempts) const;

    /** Frees the target of an attempt, which began at @p started, and records the result of the attempt. */
    void end(const ActiveRequest &request,
             const routing::Assignment &assignment,
             core::TimePoint started,
             const http::RelayResult &result) const;

private:
    /** Counts a response, or the lack of one, for a rollout of the service in progress. */
    void recordVersion(const ActiveRequest &request,
                       const targets::Target &target,
                       bool hasFailed,
                       core::Duration duration) const;

    const CallerHandlerDependencies &m_dependencies;
    const RequestLog &m_log;
};

} // namespace pimentoshed::entry
