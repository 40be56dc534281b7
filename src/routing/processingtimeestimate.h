/**
 * @file
 * Estimate of the processing time of one service's requests.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::routing
{

/**
 * Moving median of the processing time at a target of usual speed: each sample moves the estimate by a small step, so
 * that requests at faulty targets, and those of which the target makes further calls, don't raise it for all. Until
 * some requests have ended, an assumed value dominates: without an estimate, a host would assign requests to any
 * target, however slow. Not thread-safe.
 */
class ProcessingTimeEstimate
{
public:
    /** Assumes @p processingTime until some requests have ended. Zero is ignored. */
    void assume(core::Duration processingTime);

    /** Adds the time of a request at a target that was @p slowness times as slow as usual. */
    void addSample(core::Duration latency, double slowness);

    bool known() const;
    /** The estimate in nanoseconds; 0 if unknown. */
    double nanoseconds() const;

private:
    double m_nanoseconds = 0;
    double m_sampleCount = 0;
};

} // namespace pimentoshed::routing
