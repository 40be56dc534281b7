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

/** What the selected target is for. */
enum class SelectionPurpose : std::uint8_t {
    /** A load probe. */
    Probe,
    /** A request. */
    Request,
};

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

/**
 * Whether a request may be sent to the target: it does not count as full, and if full targets of its service hang, it
 * has reported a free slot, so lately that other hosts can't have taken it since. Without a recent report, the target
 * may get a request while targets usually have at most half of their slots and queue taken.
 */
bool isKnownToHaveRoom(const TargetState &target,
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
                 SelectionPurpose purpose,
                 const AssignOptions &options,
                 core::TimePoint now,
                 const ServiceContext &context);

    /** The choice of the picker. */
    struct Choice {
        /** Position among the targets. */
        std::size_t position = 0;
        /** Probability, from 0 to 1, with which a request should be sent there. */
        double sendProbability = 1;
    };
    /** Returns the picker's choice, and takes it out. */
    std::optional<Choice> take(const RouterHooks &hooks);

private:
    std::vector<Candidate> m_candidates;
    std::vector<std::size_t> m_positions;
};

} // namespace pimentoshed::routing
