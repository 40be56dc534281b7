/**
 * @file
 * Gives requests to targets and counts what each of them has from this host.
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
 * The routers of all services, each under a mutex of its own. The directory's mutex and a service's are never held
 * together. Thread-safe; rank Routing.
 */
class Router
{
public:
    Router(core::FailureDomain ownDomain, RouterHooks hooks);

    /**
     * Takes the services of a configuration; whether it was another one than before, so that every target must be
     * given again. Services not named take no requests, and go with their last one.
     */
    bool configure(const std::shared_ptr<const configuration::Configuration> &configuration);

    /** Takes the newest word of a target. Of a service that is not configured: kept out. */
    void update(const targets::Target &target);

    void setDomainsOutOfService(const std::vector<core::FailureDomain> &outDomains);

    /**
     * Gives a request of @p service to a target that serves and is not one of @p avoid. Errors: NoSuchService,
     * NoTarget. Each assignment ends with one release.
     */
    core::Result<Assignment> assign(const core::ServiceName &service,
                                    core::TimePoint now,
                                    std::span<const core::TargetId> avoid = {});

    /** As above, on @p terms. */
    core::Result<Assignment> assign(const core::ServiceName &service, core::TimePoint now, const AssignOptions &terms);

    /** Up to @p count targets that a request could be given, the best first. */
    std::vector<std::shared_ptr<const targets::Target>> shortlist(const core::ServiceName &service,
                                                                  core::TimePoint now,
                                                                  const AssignOptions &terms,
                                                                  std::size_t count);

    /** Notes that a target said nothing when asked for its load, because that @p failed or only in time. */
    void recordFailedProbe(const targets::Target &target, bool failed, core::TimePoint now);

    /** Takes what a target says of its load. */
    void recordLoadReport(const targets::Target &target, const LoadReport &report, core::TimePoint now);

    void release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now);

    /** From when on an attempt of @p service counts as late: for hedges and probes. */
    core::Duration lateThreshold(const core::ServiceName &service) const;

    /** How long a request of @p service takes as a rule once it has a target; zero where nothing is known. */
    core::Duration usualProcessingTime(const core::ServiceName &service) const;

    TargetStatus status(const core::ServiceName &service, const core::TargetId &id) const;

private:
    struct Guarded {
        explicit Guarded(ServiceRouter serviceRouter)
            : router(std::move(serviceRouter))
        {
        }
        core::RankedMutex mutex{core::LockRank::Routing};
        ServiceRouter router;
        bool retired = false;
    };

    void configureService(const configuration::Service &service, core::Duration objective);
    void retireOthers(const configuration::Configuration &configuration);

    std::shared_ptr<Guarded> find(const core::ServiceName &service) const;
    std::unordered_map<core::ServiceName, std::shared_ptr<Guarded>> all() const;

    const core::FailureDomain m_ownDomain;
    const RouterHooks m_hooks;
    mutable core::RankedMutex m_mutex{core::LockRank::Routing};
    std::shared_ptr<const configuration::Configuration> m_configuration;
    std::vector<core::FailureDomain> m_outDomains;
    std::unordered_map<core::ServiceName, std::shared_ptr<Guarded>> m_services;
};

} // namespace pimentoshed::routing
