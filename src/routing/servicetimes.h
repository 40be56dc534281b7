/**
 * @file
 * How long the requests of one service take, as one entry host has seen it.
 */
#pragma once

#include "core/time.h"
#include "routing/latency.h"
#include "routing/processingtimeestimate.h"

#include <optional>

namespace pimentoshed::routing
{

/** Scales @p bound for a target that reported @p slowness in advance: slowness that was reported is no fault. */
core::Duration scaleBySlowness(core::Duration bound, double slowness);

/** Estimates over all targets of a service. Not thread-safe. */
class ServiceTimes
{
public:
    /** Assumes a fraction of @p objective as the processing time until some requests have ended. Zero is ignored. */
    void assumeObjective(core::Duration objective);

    /** The circumstances of an answered attempt. */
    struct Answered {
        core::Duration latency{};
        /** Slowness of the target when the attempt began, by its load report. */
        double slowness = 1;
        /** Whether the target could start the request at once. */
        bool hadFreeSlot = true;
        bool isLocal = false;
    };
    void addAnswered(const Answered &answered);

    /** Adds the slowness of a load report to the moving mean. */
    void addSlowness(double slowness);

    const LatencyEstimate &latency() const
    {
        return m_latency;
    }
    const ProcessingTimeEstimate &processingTime() const
    {
        return m_processingTime;
    }
    double usualSlowness() const
    {
        return m_usualSlowness;
    }
    /** After this time without a sign, a target of usual speed is taken for silent. Nothing until enough is known. */
    std::optional<core::Duration> silenceLimit() const;
    /** Mean latency of local or remote targets; of all of them if unknown. */
    core::Duration meanLatency(bool isLocal) const;

private:
    LatencyEstimate m_latency;
    LatencyEstimate m_localLatency;
    LatencyEstimate m_remoteLatency;
    /** From attempts that the target could start at once. */
    ProcessingTimeEstimate m_processingTime;
    /** Quantile of the latency of answered attempts, in nanoseconds. */
    double m_slowQuantile = 0;
    unsigned m_answeredCount = 0;
    double m_usualSlowness = 1;
};

} // namespace pimentoshed::routing
