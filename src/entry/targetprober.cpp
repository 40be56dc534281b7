#include "entry/targetprober.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::entry
{

std::vector<core::TargetId> respondingTargets(const std::vector<ProbedTarget> &probed)
{
    std::vector<core::TargetId> responding;
    for (const auto &each : probed) {
        if (each.probe.signals) {
            responding.push_back(each.target->id);
        }
    }
    return responding;
}

TargetProber::TargetProber(const CallerHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

bool TargetProber::probesTargets(const configuration::Service &service) const
{
    return m_dependencies.options.probesPerRound > 0 && !service.healthPath.empty();
}

std::vector<ProbedTarget> TargetProber::probeTargets(const ActiveRequest &request,
                                                     const routing::AssignOptions &options,
                                                     const http::Yield &yield) const
{
    std::vector<ProbedTarget> probed;
    if (!probesTargets(*request.service)) {
        return probed;
    }
    std::vector<core::TargetId> excluded(options.excludedTargets.begin(), options.excludedTargets.end());
    auto probeOptions = options;
    probeOptions.localOnly = true;
    probeOptions.idleOnly = false;
    while (!hasAssignableTarget(request, options, probed)) {
        const bool probesFew = options.idleOnly || request.hasSurveyed;
        if (probesFew && probed.size() > m_dependencies.options.probesPerRound) {
            break;
        }
        probeOptions.excludedTargets = excluded;
        // A probe across failure domains is expensive, so remote targets are probed one at a time.
        const bool single = probed.empty() || !probeOptions.localOnly;
        auto round = probe(request, probeOptions, yield, single ? 1 : m_dependencies.options.probesPerRound);
        if (round.empty() && (options.localOnly || !probeOptions.localOnly)) {
            break;
        }
        probeOptions.localOnly = probeOptions.localOnly && !round.empty();
        for (auto &each : round) {
            excluded.push_back(each.target->id);
            probed.push_back(std::move(each));
        }
    }
    return probed;
}

std::unique_ptr<http::TargetConnection> TargetProber::takeConnection(std::vector<ProbedTarget> probed,
                                                                     const core::TargetId *chosen) const
{
    std::unique_ptr<http::TargetConnection> connection;
    for (auto &each : probed) {
        if (!each.probe.connection) {
            continue;
        }
        if (chosen != nullptr && *chosen == each.target->id) {
            connection = std::move(each.probe.connection);
        } else {
            m_dependencies.connections.give(
                each.target->address, std::move(each.probe.connection), m_dependencies.timers.now());
        }
    }
    return connection;
}

bool TargetProber::hasAssignableTarget(const ActiveRequest &request,
                                       const routing::AssignOptions &options,
                                       const std::vector<ProbedTarget> &probed) const
{
    const auto responding = respondingTargets(probed);
    auto respondingOnly = options;
    respondingOnly.allowedTargets = responding;
    respondingOnly.idleOnly = options.idleOnly || probed.size() < m_dependencies.options.probesPerRound;
    return !responding.empty()
           && !m_dependencies.router.shortlist(request.service->name, m_dependencies.timers.now(), respondingOnly, 1)
                   .empty();
}

core::Duration TargetProber::probeTimeout(const configuration::Route &route) const
{
    const auto &options = m_dependencies.options;
    return std::clamp(
        route.latencyObjective / options.probeTimeoutDivisor, options.minProbeTimeout, options.maxProbeTimeout);
}

std::vector<ProbedTarget> TargetProber::probe(const ActiveRequest &request,
                                              const routing::AssignOptions &options,
                                              const http::Yield &yield,
                                              std::size_t count) const
{
    const auto chosen =
        m_dependencies.router.shortlist(request.service->name, m_dependencies.timers.now(), options, count);
    if (chosen.empty()) {
        return {};
    }
    std::vector<http::LoadProbeTarget> endpoints;
    endpoints.reserve(chosen.size());
    for (const auto &target : chosen) {
        endpoints.push_back({target->id, target->address});
    }
    const auto sent = m_dependencies.timers.now();
    auto results =
        http::probeLoad(request.exchange,
                        yield,
                        m_dependencies.connections,
                        endpoints,
                        {request.service->healthPath, probeTimeout(*request.route), m_dependencies.protocolHooks});
    const auto now = m_dependencies.timers.now();
    std::vector<ProbedTarget> probed;
    probed.reserve(chosen.size());
    for (std::size_t position = 0; position < chosen.size(); ++position) {
        if (results[position].signals) {
            m_dependencies.router.recordSignals(*chosen[position], *results[position].signals, sent, now);
        } else {
            m_dependencies.router.recordFailedProbe(*chosen[position], results[position].failed, now);
        }
        probed.push_back({chosen[position], std::move(results[position])});
    }
    return probed;
}

} // namespace pimentoshed::entry
