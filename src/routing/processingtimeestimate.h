/**
 * @file
 * How long the work of one service's requests takes.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::routing
{

/**
 * The usual time of work at a target of usual speed. Until some requests have ended it leans on what was assumed, as a
 * host that knows nothing would take any target, however slow. Not thread-safe.
 */
class ProcessingTimeEstimate
{
public:
    /** Has @p work count until requests have ended; zero where nothing can be said. */
    void assume(core::Duration work);

    /** Takes the time that a request took at a target that was @p slowness times as slow as usual. */
    void add(core::Duration latency, double slowness);

    bool known() const;
    /** In nanoseconds; 0 where nothing is known. */
    double usual() const;

private:
    double m_usual = 0;
    double m_samples = 0;
};

} // namespace pimentoshed::routing
