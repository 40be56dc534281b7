/**
 * @file
 * The targets of one service as one entry host uses them.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"
#include "core/random.h"
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

/** Requests that this host may have at a cold target at once. */
using ColdLimitHook = std::function<unsigned(const targets::Target &, core::TimePoint)>;

/** Whether a cold target may be given a request now; only asked where its service bounds them by the second. */
using CanSendToColdHook = std::function<bool(const targets::Target &, const configuration::Service &, core::TimePoint)>;
/** Hears of each request that a cold target was given. */
using ColdAssignedHook = std::function<void(const targets::Target &, const configuration::Service &, core::TimePoint)>;

/** Takes the end of a request, and from when on requests are late. */
using AttemptEndHook =
    std::function<void(const targets::Target &, const AttemptEnd &, core::Duration lateAfter, core::TimePoint)>;

/** What varies between routers. */
struct RouterHooks {
    Picker picker;
    /** Without it every host gives a cold target the service's coldSlots. */
    ColdLimitHook coldLimit;
    core::RandomSource random;
    AttemptEndHook onAttemptEnd;
    /** Whether late and failing targets lose work; the baselines run without. */
    bool ejectsOutliers = true;
    CanSendToColdHook canSendToCold{};
    ColdAssignedHook onColdAssigned{};
};

/** What one request asks of its target. */
struct AssignOptions {
    /** Targets that it must not be. */
    std::span<const core::TargetId> excludedTargets;
    /** Where not empty: the only ones that it may be. */
    std::span<const core::TargetId> allowedTargets;
    /** Within this the request should be answered; zero where nothing is said. */
    core::Duration objective{};
    /** Whether only targets of this host's failure domain are asked for, where it has any to turn to. */
    bool localOnly = false;
    /** Whether only targets are asked for that are of usual speed and have most of their slots free. */
    bool idleOnly = false;
};

/** A request that was given to a target. Ends with one release. */
struct Assignment {
    std::shared_ptr<const targets::Target> target;
    std::uint64_t attempt = 0;
};

/** What a router knows of one target, for dumps and tests. */
struct TargetStatus {
    unsigned inFlight = 0;
    bool isOutlier = false;
    /** Suspect, and without work but for trials. */
    bool isEjected = false;
    /** Taken to be cold, though it says that it is warm. */
    bool isAssumedCold = false;
};

/**
 * Counts this host's requests at each target exactly, and assigns only to targets that serve, in domains that are not
 * out, below their limit. At most half of the serving targets are held at once: further suspects stay in use, after
 * every target that is trusted. A target whose trials go wrong time after time is taken to have turned cold for the
 * service's warm-up, or until a trial goes well. Not thread-safe.
 */
class ServiceRouter
{
public:
    ServiceRouter(configuration::Service service, core::FailureDomain ownDomain, RouterHooks hooks);

    void configure(const configuration::Service &service);

    /** Has the work be taken for a part of @p objective, until requests have ended; zero says nothing. */
    void assumeObjective(core::Duration objective);

    /** Takes the newest word of a target. One that is gone goes once its last request has ended. */
    void update(const targets::Target &target);

    void setDomainsOutOfService(std::span<const core::FailureDomain> outDomains);

    /** Gives a request to a target. Error: NoTarget. */
    core::Result<Assignment> assign(core::TimePoint now, const AssignOptions &terms);
    core::Result<Assignment> assign(core::TimePoint now, std::span<const core::TargetId> avoid = {});

    /** Up to @p count targets that a request could be given, the best first. */
    std::vector<std::shared_ptr<const targets::Target>> shortlist(core::TimePoint now,
                                                                  const AssignOptions &terms,
                                                                  std::size_t count);

    /** Notes that a target said nothing when asked for its load, because that @p failed or only in time. */
    void recordFailedProbe(const core::TargetId &id, bool failed, core::TimePoint now);

    /** Takes what a target says of its load. */
    void recordLoadReport(const core::TargetId &id, const LoadReport &report, core::TimePoint now);

    /** Ends an assignment. One that was released before is ignored. */
    void release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now);

    TargetStatus status(const core::TargetId &id) const;
    /** Of a request at a target of usual speed with room; zero where nothing is known. */
    core::Duration usualProcessingTime() const;
    const LatencyEstimate &latency() const;
    /** Requests at all targets together. */
    std::size_t inFlight() const;

private:
    struct Outstanding {
        std::uint64_t attempt = 0;
        core::TimePoint start{};
        bool trial = false;
        /** Whether the target seemed to have a slot free when it got this. */
        bool unqueued = true;
        /** How slow the target said it was. */
        double slowness = 1;
    };
    struct Entry {
        std::shared_ptr<const targets::Target> target;
        /** In order of start. */
        std::vector<Outstanding> outstanding;
        OutlierState suspicion;
        std::optional<LoadReport> report;
        core::TimePoint reportedAt{};
        /** This host's own requests there when the report came. */
        std::size_t ownAtReport = 0;
        bool serves = false;
        bool near = false;
        bool held = false;
        core::TimePoint lastEnd{};
        unsigned failedTrials = 0;
        std::optional<core::TimePoint> assumedColdUntil;
        /** Until then it is left alone: no connection could be made, or it said nothing when asked. */
        core::TimePoint unreachableUntil{};
        core::Duration unreachablePause{};
        /** Questions in a row that were not answered in time. */
        unsigned lateAnswers = 0;
    };

    void refresh(Entry &entry) const;
    void setHeld(Entry &entry);
    void noticeLate(Entry &entry, core::TimePoint now);
    void learn(Entry &entry, const Outstanding &attempt, const AttemptEnd &end, core::TimePoint now);
    void failTrial(Entry &entry, core::TimePoint now);
    void trust(Entry &entry);
    unsigned limit(const Entry &entry, core::TimePoint now) const;
    bool isCold(const Entry &entry, core::TimePoint now) const;
    unsigned slots(const Entry &entry) const;
    core::Duration expectedLatency(const Entry &entry) const;
    static void leaveAlone(Entry &entry, core::TimePoint now);
    void takeReport(Entry &entry, const LoadReport &report, core::TimePoint now);
    /** Requests that the target has now, of all hosts, as far as can be told. */
    double estimatedLoad(const Entry &entry, core::TimePoint now) const;
    double slowness(const Entry &entry, core::TimePoint now) const;
    core::Duration expectedTime(const Entry &entry, core::TimePoint now) const;
    /** Whether there is hardly a better target to be found. */
    bool isIdle(const Entry &entry, core::TimePoint now) const;
    bool hasRoom(const Entry &entry, const Candidate &candidate, const AssignOptions &terms, core::TimePoint now) const;
    Candidate candidate(const Entry &entry, unsigned most, const AssignOptions &terms, core::TimePoint now) const;
    std::optional<std::size_t> dueTrial(core::TimePoint now, const AssignOptions &terms);
    std::optional<std::size_t> pick(core::TimePoint now, const AssignOptions &terms);
    void gather(core::TimePoint now, const AssignOptions &terms);
    bool hasNear(core::TimePoint now) const;
    Assignment start(Entry &entry, core::TimePoint now, bool trial);
    void erase(std::size_t position);
    void recount();

    configuration::Service m_service;
    const core::FailureDomain m_ownDomain;
    const RouterHooks m_hooks;
    std::vector<core::FailureDomain> m_outDomains;
    std::vector<Entry> m_entries;
    std::unordered_map<core::TargetId, std::size_t> m_positions;
    LatencyEstimate m_latency;
    LatencyEstimate m_nearLatency;
    LatencyEstimate m_farLatency;
    /** Of work that starts at once. */
    ProcessingTimeEstimate m_work;
    double m_usualSlowness = 1;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_serving = 0;
    std::size_t m_suspects = 0;
    std::size_t m_held = 0;
    unsigned m_sinceTrial = 0;
    /** Kept between calls so that an assignment allocates nothing. */
    std::vector<Candidate> m_candidates;
    std::vector<std::size_t> m_candidatePositions;
};

} // namespace pimentoshed::routing
