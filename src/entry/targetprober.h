/**
 * @file
 * Probes targets for their load just before one of them is assigned a request.
 */
#pragma once

#include "entry/activerequest.h"
#include "entry/callerhandlerdependencies.h"
#include "http/loadprobe.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace pimentoshed::entry
{

/** A probed target and the result of its probe. */
struct ProbedTarget {
    std::shared_ptr<const targets::Target> target;
    http::LoadProbeResult probe;
};

/** Returns the targets that responded to their probe. */
std::vector<core::TargetId> respondingTargets(const std::vector<ProbedTarget> &probed);

/** Probes targets for requests. */
class TargetProber
{
public:
    explicit TargetProber(const CallerHandlerDependencies &dependencies);

    /** Whether the targets of @p service are probed before each assignment. */
    bool probesTargets(const configuration::Service &service) const;

    /**
     * Probes the most promising targets for their load until one of them has capacity: an idle one is taken at once,
     * otherwise the best of one round. Runs in the coroutine of @p yield. Local targets are probed first, all of them
     * if necessary, because a local probe costs little compared with sending the request to another failure domain.
     * Returns all probed targets.
     */
    std::vector<ProbedTarget> probeTargets(const ActiveRequest &request,
                                           const routing::AssignOptions &options,
                                           const http::Yield &yield) const;

    /** Returns the connection of the probe of @p chosen, if it has one; those of the others go back to the pool. */
    std::unique_ptr<http::TargetConnection> takeConnection(std::vector<ProbedTarget> probed,
                                                           const core::TargetId *chosen) const;

private:
    /**
     * Whether a target that answered its probe can be assigned the request. Until one round's number of targets has
     * been probed, only an idle target counts.
     */
    bool hasAssignableTarget(const ActiveRequest &request,
                             const routing::AssignOptions &options,
                             const std::vector<ProbedTarget> &probed) const;
    core::Duration probeTimeout(const configuration::Route &route) const;
    /** Probes up to @p count targets and passes their load, or the lack of a response, to the router. */
    std::vector<ProbedTarget> probe(const ActiveRequest &request,
                                    const routing::AssignOptions &options,
                                    const http::Yield &yield,
                                    std::size_t count) const;

    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
