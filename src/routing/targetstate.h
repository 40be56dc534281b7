/**
 * @file
 * One target as one entry host uses it.
 */
#pragma once

#include "configuration/model.h"
#include "membership/requestpace.h"
#include "routing/assignoptions.h"
#include "routing/fulltargetrule.h"
#include "routing/outlierstate.h"
#include "routing/routerhooks.h"
#include "routing/servicetimes.h"
#include "routing/targetsignals.h"
#include "targets/target.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace pimentoshed::routing
{

/** A load report is ignored after this time: the load of shared machines changes within some 150 ms. */
inline constexpr core::Duration ReportLifetime = std::chrono::milliseconds(300);

/** What the states of a service's targets have in common. */
struct ServiceContext {
    const configuration::Service &service;
    const RouterHooks &hooks;
    const ServiceTimes &times;
    const FullTargetRule &full;
};

/** A request of this host that is in progress at a target. */
struct InFlightAttempt {
    std::uint64_t attempt = 0;
    core::TimePoint start{};
    bool isProbation = false;
    /** Whether the target was estimated to have a free slot when the attempt was assigned. */
    bool hadFreeSlot = true;
    /** Slowness of the target at the time of the assignment, by its load report. */
    double slowness = 1;
    /** As in Assignment. */
    std::optional<core::Duration> silenceLimit{};
};

/**
 * Counts this host's requests at one target, and keeps what the target has said about itself: its load, a limit, a
 * pause, that it leaves. A target whose incarnation ends loses what it said. Not thread-safe.
 */
class TargetState
{
public:
    /** Reserves memory for @p expectedAttempts requests in progress. */
    explicit TargetState(std::size_t expectedAttempts);

    /** Applies an announcement. Returns false if it is outdated or says nothing new. */
    bool announce(const targets::Target &target);
    /** Sets whether the target may get requests and whether it is local, by the failure domains. */
    void updateDomains(std::span<const core::FailureDomain> domainsOutOfService, const core::FailureDomain &ownDomain);

    const std::shared_ptr<const targets::Target> &target() const
    {
        return m_target;
    }
    bool isServing() const
    {
        return m_isInService && !m_isLeaving;
    }
    bool isLocal() const
    {
        return m_isLocal;
    }
    bool isReachable(core::TimePoint now) const
    {
        return now >= m_unreachableUntil;
    }
    unsigned inFlight() const
    {
        return static_cast<unsigned>(m_attempts.size());
    }
    /** The oldest request in progress, which must exist. */
    const InFlightAttempt &oldestAttempt() const
    {
        return m_attempts.front();
    }
    core::TimePoint lastEnd() const
    {
        return m_lastEnd;
    }

    Assignment startAttempt(std::uint64_t attempt,
                            core::TimePoint now,
                            bool isProbation,
                            const ServiceContext &context);
    /** Ends an attempt. Nothing if it ended before. */
    std::optional<InFlightAttempt> endAttempt(std::uint64_t attempt, core::TimePoint now);
    /** Records that the target answered an attempt. */
    void recordAnswer()
    {
        m_silentAttempts = 0;
    }

    /** Records the signals of a response to a request sent at @p sent. Returns whether the target began to leave. */
    bool recordSignals(const TargetSignals &signals,
                       core::TimePoint sent,
                       core::TimePoint now,
                       const RouterHooks &hooks);
    /** Records that a load probe was answered, or was given up. */
    void recordProbe(core::TimePoint now)
    {
        m_lastProbe = now;
    }
    /** Records a load probe that brought no report: it @p failed, or its response did not come in time. */
    void recordFailedProbe(bool failed, core::TimePoint now);
    /** Backs off for a pause that doubles each time. A load report ends the back-off at once. */
    void backOff(core::TimePoint now);

    /** The most requests that this host may have in progress at the target. */
    unsigned limit(core::TimePoint now, const ServiceContext &context) const;
    unsigned slots(const configuration::Service &service) const;
    bool isCold(core::TimePoint now) const;
    /** Whether the target names a limit on the requests per second that it takes. */
    bool hasRequestLimit() const
    {
        return m_requestLimit.has_value();
    }
    /** When the target's pause has ended and its limit allows a request of this host. */
    core::TimePoint nextAllowed() const;
    /** Whether the target may be probed: one that limits its requests only once for each request that it allows. */
    bool isProbeAllowed(core::TimePoint now) const;
    void updateRequestPace(const RouterHooks &hooks);

    /** The latest load report if it is not older than @p maxAge. */
    const LoadReport *report(core::TimePoint now, core::Duration maxAge = ReportLifetime) const;
    /** Requests that the target runs or queues by its latest load report, however old. */
    unsigned reportedLoad() const;
    /** Estimate of the requests that the target has now, of all hosts. */
    double estimatedLoad(core::TimePoint now) const;
    /**
     * The most requests that the target is expected to have now: those of its latest report, however old, this host's
     * since, and those that other hosts may have sent since. Nothing if the target has not reported its load.
     */
    std::optional<double> highestLoad(core::TimePoint now, const ServiceContext &context) const;
    double slowness(core::TimePoint now, const ServiceTimes &times) const;
    core::Duration predictedTime(core::TimePoint now, const ServiceContext &context) const;

    /**
     * Records that the target gave no sign to an attempt. It counts as full until a later report says that it has a
     * free slot, or for @p lifetime if it doesn't report. Returns false if this is no sign of a full target: it
     * happened again although the target had said that it has room, so the target fails.
     */
    bool recordSilence(const InFlightAttempt &attempt, core::TimePoint now, core::Duration lifetime);
    /** Whether the target counts as full because it gave no sign. */
    bool isAssumedFull(core::TimePoint now) const;

    bool isEjected() const
    {
        return m_isEjected;
    }
    void setEjected(bool isEjected)
    {
        m_isEjected = isEjected;
    }
    OutlierState &outlierState()
    {
        return m_outlierState;
    }
    const OutlierState &outlierState() const
    {
        return m_outlierState;
    }
    /** After several failed probation requests in a row, the target counts as cold for @p warmUp. */
    void failProbation(core::TimePoint now, core::Duration warmUp);
    /** The target is no outlier any more, and neither ejected nor assumed to be cold. */
    void passProbation();

    TargetStatus status() const;

private:
    /** How long the next attempt may wait for a sign, if the target may be full. */
    std::optional<core::Duration> silenceLimit(core::TimePoint now, const ServiceContext &context) const;
    void setLoadReport(const LoadReport &report, core::TimePoint now);
    void setRequestLimit(const TargetSignals &signals,
                         core::TimePoint sent,
                         core::TimePoint now,
                         const RouterHooks &hooks);
    /** From 1 for a report of now to 0 for one whose lifetime has ended. */
    double reportWeight(core::TimePoint now) const;

    std::shared_ptr<const targets::Target> m_target;
    /** In order of start. */
    std::vector<InFlightAttempt> m_attempts;
    OutlierState m_outlierState;
    std::optional<LoadReport> m_report;
    core::TimePoint m_reportedAt{};
    /** Requests of this host in flight at the target when the report came. */
    std::size_t m_inFlightAtReport = 0;
    /** Until when the target counts as full if it reports nothing. Unset if it does not count as full. */
    std::optional<core::TimePoint> m_assumedFullUntil;
    /** Attempts in a row to which the target gave no sign. */
    unsigned m_silentAttempts = 0;
    bool m_isInService = false;
    bool m_isLocal = false;
    bool m_isEjected = false;
    core::TimePoint m_lastEnd{};
    unsigned m_failedProbations = 0;
    /** Until when the target counts as cold, whatever it announces. */
    std::optional<core::TimePoint> m_coldUntil;
    /** No requests are assigned before this: no connection could be made, or load probes were not answered. */
    core::TimePoint m_unreachableUntil{};
    core::Duration m_unreachableBackoff{};
    /** Load probes in a row that were not answered in time. */
    unsigned m_lateProbes = 0;
    /** Whether the target said that it leaves. It does not come back in this incarnation, whatever it announces. */
    bool m_isLeaving = false;
    /** Until when the target wants nothing from this host, by its refusals. */
    core::TimePoint m_pausedUntil{};
    /** Requests per second that the target takes from all hosts together, if it names a limit. */
    std::optional<double> m_requestLimit;
    /** When the limit was last named. */
    core::TimePoint m_limitNamedAt{};
    /** With a limit, the pace of this host's requests. */
    membership::RequestPace m_pace;
    /** With a limit, when the next request is due if the ones before it kept the pace. */
    core::TimePoint m_nextTurn{};
    core::TimePoint m_lastProbe{};
};

} // namespace pimentoshed::routing
