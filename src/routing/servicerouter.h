/**
 * @file
 * The targets of one service as one entry host uses them.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"
#include "core/random.h"
#include "membership/requestpace.h"
#include "routing/attemptend.h"
#include "routing/latency.h"
#include "routing/outlierstate.h"
#include "routing/picker.h"
#include "routing/processingtimeestimate.h"
#include "targets/target.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace pimentoshed::routing
{

/** Returns whether this host may send another request to a cold target now. */
using CanSendToColdHook = std::function<bool(const targets::Target &, const configuration::Service &, core::TimePoint)>;

/** Called for each request that is assigned to a cold target. */
using ColdAssignedHook = std::function<void(const targets::Target &, const configuration::Service &, core::TimePoint)>;

/** Returns the pace of this host's requests to a target that names a limit of requests per second. */
using RequestPaceHook = std::function<membership::RequestPace(const targets::Target &, double limit)>;

/** Behaviour that varies between routers. */
struct RouterHooks {
    Picker picker;
    core::RandomSource random;
    /** Whether late and failing targets are ejected. Off in the baselines of comparisons. */
    bool ejectsOutliers = true;
    /** If empty, cold targets are limited only by the service's cold slots at this host. */
    CanSendToColdHook canSendToCold{};
    ColdAssignedHook onColdAssigned{};
    /** If empty, this host alone uses the whole request limit of a target. */
    RequestPaceHook requestPace{};
};

/** Restrictions on the target of one request. */
struct AssignOptions {
    /** Targets that must not be chosen. */
    std::span<const core::TargetId> excludedTargets;
    /** If not empty, only these targets may be chosen. */
    std::span<const core::TargetId> allowedTargets;
    /** Time within which the request should end; zero if there is no objective. */
    core::Duration objective{};
    /** Whether only local targets may be chosen. Ignored if none of them is serving and reachable. */
    bool localOnly = false;
    /** Whether only targets of usual speed with most of their slots free may be chosen. */
    bool idleOnly = false;
    /**
     * Whether an ejected target gets a probation request only if it has just reported its load and can be expected to
     * end the request in time. For hosts that probe targets; shortlist() then also offers targets that are due.
     */
    bool probationNeedsReport = false;
};

/** A request that was assigned to a target. It must be released once. */
struct Assignment {
    std::shared_ptr<const targets::Target> target;
    std::uint64_t attempt = 0;
    /** How much slower than usual the target was estimated to be, by its load report. */
    double slowness = 1;
};

/** Routing state of one target, for dumps and tests. */
struct TargetStatus {
    unsigned inFlight = 0;
    bool isOutlier = false;
    /** Whether the target is an outlier that gets probation requests only. */
    bool isEjected = false;
    /** Whether the target was found to be cold although it may announce that it is warm. */
    bool isAssumedCold = false;
    /** Requests per second that the target takes from all hosts together, if it names a limit. */
    std::optional<double> requestLimit;
};

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
    /** Usual time of a request at a target of usual speed with a free slot; zero if unknown. */
    core::Duration usualProcessingTime() const;
    const LatencyEstimate &latency() const;
    /** Requests of this host at all targets. */
    std::size_t inFlight() const;

private:
    struct InFlightAttempt {
        std::uint64_t attempt = 0;
        core::TimePoint start{};
        bool isProbation = false;
        /** Whether the target was estimated to have a free slot when the attempt was assigned. */
        bool hadFreeSlot = true;
        /** Slowness of the target at the time of the assignment, by its load report. */
        double slowness = 1;
    };
    struct Entry {
        std::shared_ptr<const targets::Target> target;
        /** In order of start. */
        std::vector<InFlightAttempt> inFlightAttempts;
        OutlierState outlierState;
        std::optional<LoadReport> report;
        core::TimePoint reportedAt{};
        /** Requests of this host in flight at the target when the report came. */
        std::size_t ownInFlightAtReport = 0;
        bool isServing = false;
        bool isLocal = false;
        bool isEjected = false;
        core::TimePoint lastEnd{};
        unsigned failedProbations = 0;
        /** Until when the target counts as cold, whatever it announces. */
        std::optional<core::TimePoint> coldUntil;
        /** No requests are assigned before this: no connection could be made, or load probes were not answered. */
        core::TimePoint unreachableUntil{};
        core::Duration unreachableBackoff{};
        /** Load probes in a row that were not answered in time. */
        unsigned lateProbes = 0;
        /** Whether the target said that it leaves. It does not come back in this incarnation, whatever it announces. */
        bool isLeaving = false;
        /** Until when the target wants nothing from this host, by its refusals. */
        core::TimePoint pausedUntil{};
        /** Requests per second that the target takes from all hosts together, if it names a limit. */
        std::optional<double> requestLimit;
        /** When the limit was last named. */
        core::TimePoint limitNamedAt{};
        /** With a limit, the pace of this host's requests. */
        membership::RequestPace pace;
        /** With a limit, when the next request is due if the ones before it kept the pace. */
        core::TimePoint nextTurn{};
        core::TimePoint lastProbe{};
    };

    /** Sets isServing and isLocal. */
    void updateFlags(Entry &entry) const;
    void ejectIfPossible(Entry &entry);
    /** Marks the target as an outlier if its oldest attempt is late or none of its attempts ends. */
    void detectLate(Entry &entry, core::TimePoint now);
    void recordResult(Entry &entry, const InFlightAttempt &attempt, const AttemptEnd &end, core::TimePoint now);
    void recordFailedProbation(Entry &entry, core::TimePoint now);
    void clearOutlier(Entry &entry);
    unsigned limit(const Entry &entry, core::TimePoint now) const;
    bool isCold(const Entry &entry, core::TimePoint now) const;
    unsigned slots(const Entry &entry) const;
    core::Duration meanLatency(const Entry &entry) const;
    static void backOff(Entry &entry, core::TimePoint now);
    void setSignals(Entry &entry, const TargetSignals &signals, core::TimePoint sent, core::TimePoint now);
    void setLoadReport(Entry &entry, const LoadReport &report, core::TimePoint now);
    void setRequestLimit(Entry &entry, const TargetSignals &signals, core::TimePoint sent, core::TimePoint now);
    void updateRequestPace(Entry &entry) const;
    /** When the target's pause has ended and its limit allows a request of this host. */
    static core::TimePoint nextAllowed(const Entry &entry);
    /** Whether the target may be probed: one that limits its requests only once for each request that it allows. */
    static bool isProbeAllowed(const Entry &entry, core::TimePoint now);
    /** Estimate of the requests that the target has now, of all hosts. */
    double estimatedLoad(const Entry &entry, core::TimePoint now) const;
    double slowness(const Entry &entry, core::TimePoint now) const;
    core::Duration predictedTime(const Entry &entry, core::TimePoint now) const;
    /** Whether the target is of usual speed with most slots free, so that looking for another gains little. */
    bool isIdle(const Entry &entry, core::TimePoint now) const;
    bool isAssignable(const Entry &entry,
                      const Candidate &candidate,
                      const AssignOptions &options,
                      core::TimePoint now) const;
    Candidate makeCandidate(const Entry &entry,
                            unsigned maxInFlight,
                            const AssignOptions &options,
                            core::TimePoint now) const;
    std::optional<std::size_t> findDueProbation(core::TimePoint now, const AssignOptions &options);
    /** Whether the report of an ejected target allows a probation request. */
    bool isProbationAssignable(const Entry &entry, const AssignOptions &options, core::TimePoint now) const;
    std::optional<std::size_t> pickTarget(core::TimePoint now, const AssignOptions &options);
    void collectCandidates(core::TimePoint now, const AssignOptions &options);
    bool hasReachableLocal(core::TimePoint now) const;
    Assignment startAttempt(Entry &entry, core::TimePoint now, bool isProbation);
    void erase(std::size_t position);
    /** Counts again after a change of targets, and ends ejections that now exceed the maximum. */
    void updateCounts();

    configuration::Service m_service;
    const core::FailureDomain m_ownDomain;
    const RouterHooks m_hooks;
    std::vector<core::FailureDomain> m_domainsOutOfService;
    std::vector<Entry> m_entries;
    std::unordered_map<core::TargetId, std::size_t> m_positions;
    LatencyEstimate m_latency;
    LatencyEstimate m_localLatency;
    LatencyEstimate m_remoteLatency;
    /** From attempts that the target could start at once. */
    ProcessingTimeEstimate m_processingTime;
    double m_usualSlowness = 1;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_servingCount = 0;
    std::size_t m_outlierCount = 0;
    std::size_t m_ejectedCount = 0;
    unsigned m_assignmentsSinceProbation = 0;
    /** Kept between calls so that an assignment allocates no memory. */
    std::vector<Candidate> m_candidates;
    std::vector<std::size_t> m_candidatePositions;
};

} // namespace pimentoshed::routing
