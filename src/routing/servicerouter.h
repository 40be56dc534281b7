/**
 * @file
 * The targets of one service as one entry host uses them.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"
#include "routing/assignoptions.h"
#include "routing/attemptend.h"
#include "routing/candidateselection.h"
#include "routing/ejections.h"
#include "routing/routerhooks.h"
#include "routing/servicetimes.h"
#include "routing/targetstate.h"
#include "targets/target.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace pimentoshed::routing
{

/**
 * Counts this host's requests at each target exactly, and assigns requests only to serving targets below their limit,
 * in failure domains that are not out of service. At most half of the serving targets are ejected at once: further
 * outliers stay in use, but only when no other target has a free slot. After several failed probation requests in a
 * row, a target counts as cold for the service's warm-up time, or until a probation request succeeds. Requests to a
 * target that names a limit keep the pace that is this host's part of the limit. Not thread-safe.
 */
class ServiceRouter
{
public:
    ServiceRouter(configuration::Service service, core::FailureDomain ownDomain, RouterHooks hooks);

    void configure(const configuration::Service &service);

    /** Assumes a fraction of @p objective as the processing time until some requests have ended. Zero is ignored. */
    void assumeObjective(core::Duration objective);

    /** Applies an announcement of a target, unless outdated. A removed target is kept until its last request ends. */
    void update(const targets::Target &target);

    void setDomainsOutOfService(std::span<const core::FailureDomain> domainsOutOfService);

    /** Assigns a request to a target. Error: NoTarget. */
    core::Result<Assignment> assign(core::TimePoint now, const AssignOptions &options);
    core::Result<Assignment> assign(core::TimePoint now, std::span<const core::TargetId> excludedTargets = {});

    /**
     * Chooses the software version of one request by the versionShare hook, at random. The choice holds for all probes
     * of an attempt. Nothing if the service's requests are not divided, or if all would go to a version without serving
     * targets. While only the version of the division has serving targets, it still gets no more than its share.
     */
    std::optional<ChosenVersion> chooseVersion() const;

    /** Returns up to @p count targets to which a request could be assigned, the best first. */
    std::vector<std::shared_ptr<const targets::Target>> shortlist(core::TimePoint now,
                                                                  const AssignOptions &options,
                                                                  std::size_t count);

    /** Records a load probe that brought no report: it @p failed, or its response did not come in time. */
    void recordFailedProbe(const core::TargetId &id, bool failed, core::TimePoint now);

    /** Records the signals in a target's response to a load probe sent at @p sent. */
    void recordSignals(const targets::Target &target,
                       const TargetSignals &signals,
                       core::TimePoint sent,
                       core::TimePoint now);

    /** Ends an assignment. Ignored if it was released before. */
    void release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now);

    /**
     * Returns when the first of the serving targets may get a request again if each has asked for a pause or its limit
     * allows none now; nothing if one of them may get a request, or none is serving.
     */
    std::optional<core::TimePoint> pausedUntil(core::TimePoint now) const;

    /** Applies the requestPace hook again after a change of the hosts that share the targets' limits. */
    void updateRequestPaces();

    TargetStatus status(const core::TargetId &id) const;
    /** Share of the slots of the serving targets that is in use, 0 to 1, by this host's requests and load reports. */
    double usedShare(core::TimePoint now) const;
    /** Usual time of a request at a target of usual speed with a free slot; zero if unknown. */
    core::Duration usualProcessingTime() const;
    const LatencyEstimate &latency() const;
    /** Requests of this host at all targets. */
    std::size_t inFlight() const;

private:
    ServiceContext context() const
    {
        return {m_service, m_hooks, m_times, m_full};
    }
    /** Returns the state of a target, or null if it is unknown. */
    TargetState *find(const core::TargetId &id);
    const TargetState *find(const core::TargetId &id) const;
    void recordSignals(TargetState &target, const TargetSignals &signals, core::TimePoint sent, core::TimePoint now);
    void recordResult(TargetState &target, const InFlightAttempt &attempt, const AttemptEnd &end, core::TimePoint now);
    /** Draws the conclusions from an attempt without a sign. Returns false if it counts as a failed one. */
    bool recordSilence(TargetState &target, const InFlightAttempt &attempt, core::TimePoint now);
    std::optional<std::size_t> findDueProbation(core::TimePoint now, const AssignOptions &options) const;
    /** Whether the report of an ejected target allows a probation request. */
    bool isProbationAssignable(const TargetState &target, const AssignOptions &options, core::TimePoint now) const;
    void erase(const core::TargetId &id);

    configuration::Service m_service;
    const core::FailureDomain m_ownDomain;
    const RouterHooks m_hooks;
    std::vector<core::FailureDomain> m_domainsOutOfService;
    std::vector<TargetState> m_targets;
    std::unordered_map<core::TargetId, std::size_t> m_positions;
    ServiceTimes m_times;
    FullTargetRule m_full;
    Ejections m_ejections;
    CandidateSelection m_selection;
    std::uint64_t m_nextAttempt = 1;
};

} // namespace pimentoshed::routing
