/**
 * @file
 * Assigns requests to targets and counts the requests of this host at each target.
 */
#pragma once

#include "core/rankedmutex.h"
#include "routing/servicerouter.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace pimentoshed::routing
{

/**
 * Holds one ServiceRouter per service, each with its own mutex. The mutex of the map of services and that of a service
 * are never held at the same time. Thread-safe; lock rank Routing.
 */
class Router
{
public:
    Router(core::FailureDomain ownDomain, RouterHooks hooks);

    /**
     * Applies the services of a configuration. Returns whether it differs from the one before; then the caller must
     * call update() for every target. Services that are not in it take no more requests; one without requests in
     * flight is removed.
     */
    bool configure(const std::shared_ptr<const configuration::Configuration> &configuration);

    /** Applies the announcement of a target. Ignored if its service is not configured. */
    void update(const targets::Target &target);

    void setDomainsOutOfService(const std::vector<core::FailureDomain> &domainsOutOfService);

    /**
     * Assigns a request of @p service to a serving target that is not among @p excludedTargets. Each assignment must be
     * released once. Errors: NoSuchService, NoTarget.
     */
    core::Result<Assignment> assign(const core::ServiceName &service,
                                    core::TimePoint now,
                                    std::span<const core::TargetId> excludedTargets = {});

    /** Same as above, with the restrictions in @p options. */
    core::Result<Assignment> assign(const core::ServiceName &service,
                                    core::TimePoint now,
                                    const AssignOptions &options);

    /** Chooses the software version of one request of @p service, as ServiceRouter::chooseVersion() does. */
    std::optional<ChosenVersion> chooseVersion(const core::ServiceName &service) const;

    /** Returns up to @p count targets to which a request could be assigned, the best first. */
    std::vector<std::shared_ptr<const targets::Target>> shortlist(const core::ServiceName &service,
                                                                  core::TimePoint now,
                                                                  const AssignOptions &options,
                                                                  std::size_t count);

    /** Records a load probe that brought no report: it @p failed, or its response did not come in time. */
    void recordFailedProbe(const targets::Target &target, bool failed, core::TimePoint now);

    /** Records the signals in a target's response to a load probe sent at @p sent. */
    void recordSignals(const targets::Target &target,
                       const TargetSignals &signals,
                       core::TimePoint sent,
                       core::TimePoint now);

    /** Ends an assignment. Ignored if it was released before. */
    void release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now);

    /**
     * Returns when the first of the service's targets may get a request again if each has asked for a pause or its
     * limit allows none now.
     */
    std::optional<core::TimePoint> pausedUntil(const core::ServiceName &service, core::TimePoint now) const;

    /** Applies the requestPace hook again after a change of the hosts that share the targets' limits. */
    void updateRequestPaces();

    /** Usual time of a request of @p service once it has a target; zero if unknown. */
    core::Duration usualProcessingTime(const core::ServiceName &service) const;

    /** Share of the slots of the service's serving targets that is in use, 0 to 1; 1 if there are none. */
    double usedShare(const core::ServiceName &service, core::TimePoint now) const;

    TargetStatus status(const core::ServiceName &service, const core::TargetId &id) const;

private:
    struct Guarded {
        explicit Guarded(ServiceRouter serviceRouter)
            : router(std::move(serviceRouter))
        {
        }
        core::RankedMutex mutex{core::LockRank::Routing};
        ServiceRouter router;
        bool isRetired = false;
    };

    void configureService(const configuration::Service &service, core::Duration objective);
    void retireUnconfigured(const configuration::Configuration &configuration);

    std::shared_ptr<Guarded> find(const core::ServiceName &service) const;
    std::unordered_map<core::ServiceName, std::shared_ptr<Guarded>> all() const;

    const core::FailureDomain m_ownDomain;
    const RouterHooks m_hooks;
    mutable core::RankedMutex m_mutex{core::LockRank::Routing};
    std::shared_ptr<const configuration::Configuration> m_configuration;
    std::vector<core::FailureDomain> m_domainsOutOfService;
    std::unordered_map<core::ServiceName, std::shared_ptr<Guarded>> m_services;
};

} // namespace pimentoshed::routing
