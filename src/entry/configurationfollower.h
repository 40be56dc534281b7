/**
 * @file
 * Finds a request's route and service in a configuration, at its arrival and again when the configuration changes.
 */
#pragma once

#include "entry/activerequest.h"
#include "entry/callerhandlerdependencies.h"

namespace pimentoshed::entry
{

/** Makes requests follow a configuration. */
class ConfigurationFollower
{
public:
    explicit ConfigurationFollower(const CallerHandlerDependencies &dependencies);

    /**
     * Makes @p request follow the configuration @p active: finds its route there, and picks a service unless the route
     * still leads to the one it has. Errors: NoSuchService, RequestKeyMissing.
     */
    core::Status follow(ActiveRequest &request, const ConfigurationRef &active) const;

private:
    /** Picks one of the route's services at random, in proportion to their weights. */
    core::ServiceName chooseService(const configuration::Route &route) const;

    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
