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

routing::RouterHooks makeHooks(routing::ColdTargetLimiter &coldLimiter,
                               const Policy &policy,
                               const core::RandomSource &random)
{
    routing::RouterHooks hooks;
    hooks.picker = routing::makePicker(policy.picker);
    hooks.random = random;
    hooks.ejectsOutliers = policy.ejectsOutliers;
    hooks.canSendToCold = [&coldLimiter](const auto &target, const auto &service, core::TimePoint now) {
        return coldLimiter.canSend(target, service, now);
    };
    hooks.onColdAssigned = [&coldLimiter](const auto &target, const auto &service, core::TimePoint now) {
        coldLimiter.recordSent(target, service, now);
    };
    return hooks;
}

} // namespace

membership::Member memberOf(const Trace &trace, std::size_t index)
{
    return {core::HostId("entry-" + std::to_string(index)), 1, trace.hosts[index]};
}

Host makeHost(const Trace &trace, std::size_t index, const Policy &policy, const core::RandomSource &random)
{
    const auto configuration = configurationOf(trace);
    Host host;
    host.domain = trace.hosts[index];
    host.coldLimiter = std::make_unique<routing::ColdTargetLimiter>(memberOf(trace, index));
    host.queue = std::make_unique<admission::Queue>(HostLimit);
    host.queue->configure(*configuration);
    host.retryBudgets = std::make_unique<requests::RetryBudgets>();
    host.router = std::make_unique<routing::ServiceRouter>(
        trace.service, host.domain, makeHooks(*host.coldLimiter, policy, random));
    for (const auto &target : trace.targets) {
        host.router->update(target);
    }
    return host;
}

} // namespace pimentoshed::replay
