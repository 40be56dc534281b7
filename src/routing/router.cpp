#include "routing/router.h"

#include <utility>

namespace pimentoshed::routing
{

Router::Router(core::FailureDomain ownDomain, RouterHooks hooks)
    : m_ownDomain(std::move(ownDomain))
    , m_hooks(std::move(hooks))
{
}

bool Router::configure(const std::shared_ptr<const configuration::Configuration> &configuration)
{
    {
        const core::Lock lock(m_mutex);
        if (m_configuration == configuration) {
            return false;
        }
        m_configuration = configuration;
    }
    for (const auto &service : configuration->services) {
        configureService(service, configuration::shortestLatencyObjective(*configuration, service.name));
    }
    retireUnconfigured(*configuration);
    return true;
}

void Router::configureService(const configuration::Service &service, core::Duration objective)
{
    std::shared_ptr<Guarded> guarded;
    {
        const core::Lock lock(m_mutex);
        auto &known = m_services[service.name];
        if (!known) {
            known = std::make_shared<Guarded>(ServiceRouter(service, m_ownDomain, m_hooks));
            known->router.setDomainsOutOfService(m_domainsOutOfService);
            known->router.assumeObjective(objective);
            return;
        }
        guarded = known;
    }
    const core::Lock lock(guarded->mutex);
    guarded->router.configure(service);
    guarded->router.assumeObjective(objective);
    guarded->isRetired = false;
}

void Router::retireUnconfigured(const configuration::Configuration &configuration)
{
    for (const auto &[name, guarded] : all()) {
        if (configuration::findService(configuration, name) != nullptr) {
            continue;
        }
        bool isIdle = false;
        {
            const core::Lock lock(guarded->mutex);
            guarded->isRetired = true;
            isIdle = guarded->router.inFlight() == 0;
        }
        if (isIdle) {
            const core::Lock lock(m_mutex);
            m_services.erase(name);
        }
    }
}

void Router::update(const targets::Target &target)
{
    if (const auto guarded = find(target.service)) {
        const core::Lock lock(guarded->mutex);
        guarded->router.update(target);
    }
}

void Router::setDomainsOutOfService(const std::vector<core::FailureDomain> &domainsOutOfService)
{
    {
        const core::Lock lock(m_mutex);
        if (m_domainsOutOfService == domainsOutOfService) {
            return;
        }
        m_domainsOutOfService = domainsOutOfService;
    }
    for (const auto &[name, guarded] : all()) {
        const core::Lock lock(guarded->mutex);
        guarded->router.setDomainsOutOfService(domainsOutOfService);
    }
}

core::Result<Assignment> Router::assign(const core::ServiceName &service,
                                        core::TimePoint now,
                                        std::span<const core::TargetId> excludedTargets)
{
    AssignOptions options;
    options.excludedTargets = excludedTargets;
    return assign(service, now, options);
}

std::vector<std::shared_ptr<const targets::Target>> Router::shortlist(const core::ServiceName &service,
                                                                      core::TimePoint now,
                                                                      const AssignOptions &options,
                                                                      std::size_t count)
{
    const auto guarded = find(service);
    if (!guarded) {
        return {};
    }
    const core::Lock lock(guarded->mutex);
    return guarded->router.shortlist(now, options, count);
}

std::optional<ChosenVersion> Router::chooseVersion(const core::ServiceName &service) const
{
    const auto guarded = find(service);
    if (!guarded) {
        return std::nullopt;
    }
    const core::Lock lock(guarded->mutex);
    return guarded->router.chooseVersion();
}

void Router::recordFailedProbe(const targets::Target &target, bool failed, core::TimePoint now)
{
    if (const auto guarded = find(target.service)) {
        const core::Lock lock(guarded->mutex);
        guarded->router.recordFailedProbe(target.id, failed, now);
    }
}

void Router::recordSignals(const targets::Target &target,
                           const TargetSignals &signals,
                           core::TimePoint sent,
                           core::TimePoint now)
{
    if (const auto guarded = find(target.service)) {
        const core::Lock lock(guarded->mutex);
        guarded->router.recordSignals(target, signals, sent, now);
    }
}

core::Result<Assignment> Router::assign(const core::ServiceName &service,
                                        core::TimePoint now,
                                        const AssignOptions &options)
{
    const auto guarded = find(service);
    if (!guarded) {
        return core::Error{core::ErrorCode::NoSuchService, service.str()};
    }
    const core::Lock lock(guarded->mutex);
    if (guarded->isRetired) {
        return core::Error{core::ErrorCode::NoSuchService, service.str()};
    }
    return guarded->router.assign(now, options);
}

void Router::release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now)
{
    if (const auto guarded = find(assignment.target->service)) {
        const core::Lock lock(guarded->mutex);
        guarded->router.release(assignment, end, now);
    }
}

std::optional<core::TimePoint> Router::pausedUntil(const core::ServiceName &service, core::TimePoint now) const
{
    const auto guarded = find(service);
    if (!guarded) {
        return std::nullopt;
    }
    const core::Lock lock(guarded->mutex);
    return guarded->router.pausedUntil(now);
}

void Router::updateRequestPaces()
{
    for (const auto &[name, guarded] : all()) {
        const core::Lock lock(guarded->mutex);
        guarded->router.updateRequestPaces();
    }
}

core::Duration Router::usualProcessingTime(const core::ServiceName &service) const
{
    const auto guarded = find(service);
    if (!guarded) {
        return {};
    }
    const core::Lock lock(guarded->mutex);
    return guarded->router.usualProcessingTime();
}

double Router::usedShare(const core::ServiceName &service, core::TimePoint now) const
{
    const auto guarded = find(service);
    if (!guarded) {
        return 1;
    }
    const core::Lock lock(guarded->mutex);
    return guarded->router.usedShare(now);
}

TargetStatus Router::status(const core::ServiceName &service, const core::TargetId &id) const
{
    const auto guarded = find(service);
    if (!guarded) {
        return {};
    }
    const core::Lock lock(guarded->mutex);
    return guarded->router.status(id);
}

std::shared_ptr<Router::Guarded> Router::find(const core::ServiceName &service) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

std::unordered_map<core::ServiceName, std::shared_ptr<Router::Guarded>> Router::all() const
{
    const core::Lock lock(m_mutex);
    return m_services;
}

} // namespace pimentoshed::routing
