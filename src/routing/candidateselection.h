/**
 * @file
 * The targets of a service to which a request could be assigned.
 */
#pragma once

#include "routing/ejections.h"
#include "routing/picker.h"
#include "routing/targetstate.h"

#include <optional>
#include <span>
#include <vector>

namespace pimentoshed::routing
{

/** Returns what a picker needs to know about @p target. */
Candidate makeCandidate(const TargetState &target,
                        unsigned maxInFlight,
                        const AssignOptions &options,
                        core::TimePoint now,
                        const ServiceContext &context);

/**
 * Whether the target is estimated to have a free slot and is likely to end the request in time. Otherwise it is better
 * to keep the request queued at this host until a fast target has a free slot than to queue it at the target.
 */
bool isAssignable(const TargetState &target,
                  const Candidate &candidate,
                  const AssignOptions &options,
                  core::TimePoint now,
                  const ServiceContext &context);

/** The candidates for one request. Kept between requests so that a selection allocates no memory. Not thread-safe. */
class CandidateSelection
{
public:
    CandidateSelection();

    /**
     * Collects usable targets that are not outliers; if there are none, outliers. Starts at random if they are many.
     */
    void collect(std::span<TargetState> targets,
                 Ejections &ejections,
                 const AssignOptions &options,
                 core::TimePoint now,
                 const ServiceContext &context);

    /** Returns the position among the targets of the one that the picker chooses, and takes it out. */
    std::optional<std::size_t> take(const RouterHooks &hooks);

private:
    std::vector<Candidate> m_candidates;
    std::vector<std::size_t> m_positions;
};

} // namespace pimentoshed::routing
