/**
 * @file
 * Limits the requests that the owner of a cold target, the one entry host that may send to it, sends there until the
 * target is warm.
 */
#pragma once

#include "core/time.h"

#include <optional>

namespace pimentoshed::targets
{

/** The settings of a service that apply to a cold target. */
struct ColdRampOptions {
    unsigned coldSlots = 1;
    unsigned slots = 1;
    core::Duration warmUp{};
    /** The service's deadline: every request has ended this long after it was sent. */
    core::Duration deadline{};
    /** Whether the target announces when it is warm. If so, its limit is not raised after the warm-up time. */
    bool announcesWarm = true;
};

/**
 * Number of requests that the owner may have at a cold target at once. A new owner treats the target as full until the
 * target reports its requests in progress, or until the deadline of all requests that earlier owners may have sent has
 * passed. After that, the limit is the target's cold slots. If the target never announces that it is warm, the limit
 * doubles after the warm-up time with each run of successful requests, up to the target's slots. A late, failed or shed
 * request resets the limit and restarts the warm-up time. Not thread-safe.
 */
class ColdRamp
{
public:
    /** @p ownedSince is when this host became the owner. */
    ColdRamp(const ColdRampOptions &options, core::TimePoint ownedSince);

    /** Returns the number of requests that the owner may have at the target at once. */
    unsigned limit(core::TimePoint now) const;

    /**
     * Sets the number of requests in progress at the target without the owner's own. The number must come from a
     * request to the target that was made after this host became the owner.
     */
    void setForeignRequests(unsigned inProgress);

    /** Records the end of one of the owner's requests. @p succeeded is false if it was late, failed or was shed. */
    void finish(bool succeeded, core::TimePoint now);

private:
    ColdRampOptions m_options;
    core::TimePoint m_foreignDeadline{};
    std::optional<unsigned> m_foreignRequests;
    core::TimePoint m_rampStart{};
    unsigned m_level = 1;
    unsigned m_successesInRow = 0;
};

} // namespace pimentoshed::targets
