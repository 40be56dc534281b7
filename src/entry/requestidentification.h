/**
 * @file
 * First step of a request: what it is for, and when it must have ended.
 */
#pragma once

#include "entry/configurationfollower.h"

namespace pimentoshed::entry
{

/** Finds the route, the service, the caller and the deadline of a request. */
class RequestIdentification
{
public:
    RequestIdentification(const CallerHandlerDependencies &dependencies, const ConfigurationFollower &follower);

    /**
     * Identifies @p request by the configuration @p active. Errors: those of ConfigurationFollower::follow() and of the
     * protocol's time limit. The request's service is set also if the error is found after it.
     */
    core::Status identify(ActiveRequest &request, const ConfigurationRef &active) const;

private:
    core::Result<core::TimePoint> deadlineOf(const http::Exchange &exchange, const configuration::Route &route) const;

    const CallerHandlerDependencies &m_dependencies;
    const ConfigurationFollower &m_follower;
};

} // namespace pimentoshed::entry
