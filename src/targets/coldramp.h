/**
 * @file
 * How much its owner may give a target that is cold, from gaining it to the target being warm.
 */
#pragma once

#include "core/time.h"

#include <optional>

namespace pimentoshed::targets
{

/** What a service says of its cold targets. */
struct ColdRampOptions {
    unsigned coldSlots = 1;
    unsigned slots = 1;
    core::Duration warmUp{};
    /** Requests sent before now have ended after this. */
    core::Duration deadline{};
    /** Whether the target says itself when it is warm; if so, nothing is guessed from time. */
    bool announcesWarm = true;
};

/**
 * A gained target is taken to be full until the deadline of what earlier owners may have sent, or until it says itself
 * what it has. Then it gets its cold slots; a target that never announces that it is warm gets twice as many after its
 * warm-up and each time that enough requests in a row were good, up to its slots. A late, failed or shed request
 * starts the ramp again. Not thread-safe.
 */
class ColdRamp
{
public:
    ColdRamp(const ColdRampOptions &terms, core::TimePoint gained);

    /** Requests that the owner may have at the target at once. */
    unsigned limit(core::TimePoint now) const;

    /** Takes the target's count of requests in progress, asked for after it was gained, less the owner's own. */
    void setForeignRequests(unsigned inProgress);

    /** Takes the end of one of the owner's requests. */
    void finish(bool good, core::TimePoint now);

private:
    ColdRampOptions m_terms;
    core::TimePoint m_foreignEnd{};
    std::optional<unsigned> m_foreign;
    core::TimePoint m_rampStart{};
    unsigned m_level = 1;
    unsigned m_goodInRow = 0;
};

} // namespace pimentoshed::targets
