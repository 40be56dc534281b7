/**
 * @file
 * Tells from responses whether a new software version is as good as the old ones.
 */
#pragma once

#include "rollouts/counts.h"
#include "rollouts/rollout.h"

#include <array>
#include <map>

namespace pimentoshed::rollouts
{

/** The log-likelihood ratio of "worse" to "as good" for one quantity of one route. */
struct Evidence {
    /** Responses that could be compared. */
    std::uint64_t responses = 0;
    /** Over all responses: falls while the version is good. */
    double total = 0;
    /** The cumulative sum of the same ratio that never falls below zero: rises while the version is bad. */
    double recent = 0;

    /** Adds @p added responses of which @p bad are bad, where a share @p usual of those of the old versions is. */
    void add(std::uint64_t added, std::uint64_t bad, double usual);
};

/** The evidence about one route. */
struct RouteEvidence {
    Evidence failures;
    Evidence durations;
    /** What has been added so far. */
    ComparedCounts counted;
    /** The latest responses of the old versions, for the comparison: the most first. */
    std::array<Counts, 3> references;
    /** The first bucket whose responses count as slow. */
    std::size_t slowBucket = DurationBuckets;
};

/**
 * Sequential probability ratio tests for each route, by failures and by processing times. docs/design/rollouts.md
 * states hypotheses, error rates and sources. Not thread-safe.
 */
class SequentialTest
{
public:
    /** Adds what @p sums contains beyond the previous call. */
    void update(const RouteCounts &sums);

    /** Why the new version must be taken back; None if there is no reason. Less is needed if its time is up. */
    Reason verdict(bool isTimeUp = false) const;

    /** Whether the evidence is enough to go on, with @p missRate as the probability that the version is bad. */
    bool isAccepted(double missRate) const;

    const std::map<core::RouteName, RouteEvidence> &routes() const;
    /** All responses of the new version so far. */
    Counts newVersion() const;
    Counts oldVersions() const;

private:
    /** The quantity with the strongest recent evidence above @p limit. */
    Reason strongest(double limit) const;

    std::map<core::RouteName, RouteEvidence> m_routes;
};

} // namespace pimentoshed::rollouts
