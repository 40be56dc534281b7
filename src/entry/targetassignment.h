/**
 * @file
 * Finds a target for a request, at once or after it has waited.
 */
#pragma once

#include "entry/configurationfollower.h"
#include "entry/targetprober.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace pimentoshed::entry
{

/** A target that was assigned a request. */
struct AssignedTarget {
    routing::Assignment assignment;
    /** The connection on which the target has just answered a probe, if it has. */
    std::unique_ptr<http::TargetConnection> connection;
};

/** Assigns targets to requests. Whatever a request waits for, requests::WaitingRequest decides what ends the wait. */
class TargetAssignment
{
public:
    TargetAssignment(const CallerHandlerDependencies &dependencies,
                     const ConfigurationFollower &follower,
                     const TargetProber &prober);

    /**
     * Assigns a target to @p request, at once or after it has waited, by the configuration that is current then.
     * Errors: those of requests::WaitingRequest::ended(), the router, the queue and the configuration; CallerTooSlow if
     * the caller has closed its connection meanwhile.
     */
    core::Result<AssignedTarget> assignOrWait(ActiveRequest &request) const;

    /**
     * Assigns a target for a second attempt beside that at @p other: one with room to spare, in the own failure domain.
     * Runs in the coroutine of @p yield and doesn't wait. Errors: as above; Stopping always if this host is stopping.
     */
    core::Result<AssignedTarget> assignSpare(const ActiveRequest &request,
                                             const core::TargetId &other,
                                             const http::Yield &yield) const;

private:
    /** Which of the targets with capacity a request may take. */
    enum class AcceptableTargets : std::uint8_t {
        Any,
        Idle,
    };

    /**
     * Assigns one of the targets of the request's service. Error NoSuchService if this host no longer has the service,
     * or if the configuration has changed.
     */
    core::Result<AssignedTarget> assignInService(ActiveRequest &request) const;
    /** Queues the request until a target has capacity. */
    core::Result<AssignedTarget> assignFromQueue(ActiveRequest &request) const;
    /**
     * Assigns a target to a request that can't meet its objective any more: an idle one while it has time, then any
     * with capacity. Such a request isn't queued.
     */
    core::Result<AssignedTarget> assignLate(ActiveRequest &request) const;
    /** Assigns one of the service's current targets, except those already tried. Probes them first if they are probed.
     */
    core::Result<AssignedTarget> assign(ActiveRequest &request,
                                        AcceptableTargets acceptable = AcceptableTargets::Any) const;
    /** Assigns one of the targets that answered their probes, or any if none was probed. */
    core::Result<AssignedTarget> assignProbed(const ActiveRequest &request,
                                              routing::AssignOptions options,
                                              std::vector<ProbedTarget> probed) const;
    /** The restrictions that hold for every attempt of @p request. */
    static routing::AssignOptions assignOptions(const ActiveRequest &request, const requests::WaitSituation &found);
    /** What @p request finds now. Its caller and the targets' pauses are left to where they are looked at. */
    requests::WaitSituation situation(const ActiveRequest &request) const;

    const CallerHandlerDependencies &m_dependencies;
    const ConfigurationFollower &m_follower;
    const TargetProber &m_prober;
};

} // namespace pimentoshed::entry
