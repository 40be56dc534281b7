/**
 * @file
 * Counts of the responses of a service's targets while a rollout is in progress.
 */
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace pimentoshed::rollouts
{

/** Number of buckets for processing times; the last one has no upper limit. */
inline constexpr std::size_t DurationBuckets = 25;

/** Upper limit of a bucket: 5 ms for the first one, and √2 times the one before for each further one. */
core::Duration bucketLimit(std::size_t bucket);
/** The bucket that @p duration belongs to. */
std::size_t bucketOf(core::Duration duration);

/** Responses to the requests of one route. */
struct Counts {
    /** Ended attempts, failures included. */
    std::uint64_t responses = 0;
    std::uint64_t failures = 0;
    /** Processing times of successful responses of warm targets. */
    std::array<std::uint64_t, DurationBuckets> durations{};

    Counts &operator+=(const Counts &other);
    /** Subtracts counts that are contained in these. */
    Counts &operator-=(const Counts &other);
    bool operator==(const Counts &) const = default;

    /** The number of processing times. */
    std::uint64_t timed() const;
    /** The number of processing times in the buckets from @p bucket on. */
    std::uint64_t timedFrom(std::size_t bucket) const;
};

/** The same requests, divided by version. */
struct ComparedCounts {
    Counts newVersion;
    /** All other versions. */
    Counts oldVersions;

    bool operator==(const ComparedCounts &) const = default;
};

/** The counts of a service's rollout, by route. */
using RouteCounts = std::map<core::RouteName, ComparedCounts>;

} // namespace pimentoshed::rollouts
