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
     * Makes @p request follow the configuration @p active: finds its route and its caller there, and picks a service
     * unless the route still leads to the one it has. Errors: NoSuchService if no route matches, or NotCurrent if a
     * newer configuration may have one; RequestKeyMissing, and those of workspaces::identify().
     */
    core::Status follow(ActiveRequest &request, const ConfigurationRef &active) const;

    /** Whether this host may still decide by the keys of the configuration that @p request follows. Error: NotCurrent.
     */
    core::Status checkKeys(const ActiveRequest &request) const;

private:
    /** Identifies the caller of a request to @p route in @p active, and reports a refusal for its key. */
    core::Result<workspaces::Caller> identifyCaller(const ActiveRequest &request,
                                                    const EntryConfiguration &active,
                                                    const configuration::Route &route) const;
    void logUnknownRoute(const ActiveRequest &request, const EntryConfiguration &active) const;
    /** Whether this host knows that its configuration is current. */
    bool isCurrent() const;
    /** Picks one of the route's services at random, in proportion to their weights. */
    core::ServiceName chooseService(const configuration::Route &route) const;

    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
