/**
 * @file
 * The attempts to have a request answered by a target.
 */
#pragma once

#include "entry/hedgedrelay.h"
#include "entry/refusals.h"
#include "entry/requestlog.h"
#include "entry/requestquota.h"
#include "entry/targetassignment.h"

namespace pimentoshed::entry
{

/** Sends a request to targets until one answers, and responds to its caller. */
class Attempts
{
public:
    Attempts(const CallerHandlerDependencies &dependencies,
             const TargetAssignment &assignment,
             const RequestQuota &quota,
             const HedgedRelay &relay,
             const Refusals &refusals,
             const RequestLog &log);

    /** Makes attempts until one of them answers the caller or no further one is allowed; then the caller is refused. */
    void run(ActiveRequest &request, telemetry::CompletedRequest &completed) const;

private:
    /** Ends a request without a target because of @p error. */
    void endWithoutTarget(ActiveRequest &request,
                          const core::Error &error,
                          telemetry::CompletedRequest &completed) const;
    /** Frees a target that was assigned to a request that is not sent. */
    void release(const ActiveRequest &request, AssignedTarget &assigned) const;
    bool mayRetry(const ActiveRequest &request, const std::vector<EndedAttempt> &ended) const;
    void refuseOrClose(const ActiveRequest &request, const std::vector<EndedAttempt> &ended) const;

    const CallerHandlerDependencies &m_dependencies;
    const TargetAssignment &m_assignment;
    const RequestQuota &m_quota;
    const HedgedRelay &m_relay;
    const Refusals &m_refusals;
    const RequestLog &m_log;
};

} // namespace pimentoshed::entry
