#include "replay/host.h"

#include <string>

namespace pimentoshed::replay
{

namespace
{

/** Requests that may wait at a host; above the queue limit of the service of a generated trace. */
constexpr std::size_t HostLimit = 10000;

std::shared_ptr<const configuration::Configuration> configurationOf(const Trace &trace)
{
    configuration::Configuration configuration;
    configuration.institutions.push_back({trace.service.institution, 1});
    configuration.services.push_back(trace.service);
    return std::make_shared<const configuration::Configuration>(configuration);
}

routing::RouterHooks makeHooks(routing::ColdConcurrencyLimiter &coldLimiter,
                               const Policy &policy,
                               const core::RandomSource &random)
{
    routing::RouterHooks hooks;
    hooks.picker = routing::makePicker(policy.picker);
    hooks.coldLimit = [&coldLimiter](const auto &target, core::TimePoint now) {
        return coldLimiter.limit(target, now);
    };
    hooks.random = random;
    hooks.onAttemptEnd =
        [&coldLimiter](const auto &target, const auto &end, core::Duration lateThreshold, core::TimePoint now) {
            coldLimiter.recordEnd(target, end, lateThreshold, now);
        };
    hooks.ejectsOutliers = policy.ejectsOutliers;
    return hooks;
}

} // namespace

core::HostId hostId(std::size_t index)
{
    return core::HostId("entry-" + std::to_string(index));
}

Host makeHost(const Trace &trace, std::size_t index, const Policy &policy, const core::RandomSource &random)
{
    const auto configuration = configurationOf(trace);
    Host host;
    host.domain = trace.hosts[index];
    host.coldLimiter = std::make_unique<routing::ColdConcurrencyLimiter>(hostId(index), 1);
    host.coldLimiter->configure(configuration);
    host.queue = std::make_unique<admission::Queue>(HostLimit);
    host.queue->configure(*configuration);
    host.budget = std::make_unique<requests::RetryBudget>(trace.service.retryRatio);
    host.router = std::make_unique<routing::ServiceRouter>(
        trace.service, host.domain, makeHooks(*host.coldLimiter, policy, random));
    for (const auto &target : trace.targets) {
        updateTarget(host, target, policy);
    }
    return host;
}

void updateTarget(Host &host, const targets::Target &target, const Policy &policy)
{
    if (policy.placement == Placement::Shared || target.domain == host.domain) {
        host.router->update(target);
    }
}

} // namespace pimentoshed::replay
