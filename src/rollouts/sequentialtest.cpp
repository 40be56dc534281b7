#include "rollouts/sequentialtest.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::rollouts
{

namespace
{

/** How much worse than the old versions a version may be and still count as good, as a share of the good responses. */
constexpr double Tolerance = 0.1;
/** How much worse a bad version is at least. */
constexpr double Damage = 0.3;
/** Probability of taking back a version that is at the limit of the tolerance, for each response. */
constexpr double FalseAlarmRate = 1e-4;
/** Recent evidence above ln of this stops a rollout from going on, and takes a version back when its time is up. */
constexpr double SuspicionRatio = 10;
/** Bounds of the old versions' share of bad responses: nothing never fails, and a service that fails can't be judged.
 */
constexpr double MinUsual = 0.01;
constexpr double MaxUsual = 0.8;
/**
 * Responses of the old versions that the comparisons cover: enough for a share of one in a hundred, for what both
 * versions have suffered for some seconds, and for what they have just begun to suffer.
 */
constexpr std::array<std::uint64_t, 3> ReferenceResponses{400, 100, 30};
/** Slow is at least this number of buckets above the median, that is, some three times the median. */
constexpr std::size_t SlowBucketsAboveMedian = 3;
/** Highest share of the old versions' responses that counts as slow. */
constexpr double MaxUsuallySlow = 0.05;
/** A route with a smaller share of the responses needs no evidence of its own, or less of it. */
constexpr double MinRouteShare = 0.02;
constexpr double MainRouteShare = 0.05;

double usualShare(std::uint64_t bad, std::uint64_t responses)
{
    const auto share = static_cast<double>(bad) / static_cast<double>(std::max<std::uint64_t>(1, responses));
    return std::clamp(share, MinUsual, MaxUsual);
}

/** Reduces @p reference to about @p limit responses, so that later ones outweigh earlier ones. */
void shorten(Counts &reference, std::uint64_t limit)
{
    if (reference.responses <= limit) {
        return;
    }
    const auto factor = static_cast<double>(limit) / static_cast<double>(reference.responses);
    const auto scaled = [factor](std::uint64_t count) {
        return static_cast<std::uint64_t>(std::llround(static_cast<double>(count) * factor));
    };
    reference.responses = limit;
    reference.failures = scaled(reference.failures);
    std::transform(reference.durations.begin(), reference.durations.end(), reference.durations.begin(), scaled);
}

/** Returns the first bucket that counts as slow; DurationBuckets if no processing times are known. */
std::size_t slowBucketOf(const Counts &reference)
{
    const auto timed = reference.timed();
    if (timed == 0) {
        return DurationBuckets;
    }
    std::size_t bucket = 0;
    while (reference.timedFrom(bucket + 1) * 2 > timed) {
        ++bucket;
    }
    bucket += SlowBucketsAboveMedian + 1;
    while (bucket<DurationBuckets &&static_cast<double>(reference.timedFrom(bucket))> MaxUsuallySlow
           * static_cast<double>(timed)) {
        ++bucket;
    }
    return std::min(bucket, DurationBuckets);
}

/** Returns the largest share of bad responses among the references of @p route. */
template<typename Share>
double largestShare(const RouteEvidence &route, const Share &shareOf)
{
    double largest = 0;
    for (const auto &reference : route.references) {
        largest = std::max(largest, shareOf(reference));
    }
    return largest;
}

void addCounts(RouteEvidence &route, const ComparedCounts &sum)
{
    auto added = sum;
    added.newVersion -= route.counted.newVersion;
    added.oldVersions -= route.counted.oldVersions;
    route.counted = sum;
    for (std::size_t position = 0; position < ReferenceResponses.size(); ++position) {
        route.references.at(position) += added.oldVersions;
        shorten(route.references.at(position), ReferenceResponses.at(position));
    }
    const auto &responses = added.newVersion;
    const auto &usual = route.references.front();
    if (usual.responses == 0) {
        // Nothing to compare with yet: a version that is alone must not fail.
        route.failures.add(responses.responses, responses.failures, MinUsual);
        return;
    }
    const auto failing = largestShare(route, [](const Counts &counts) {
        return usualShare(counts.failures, counts.responses);
    });
    route.failures.add(responses.responses, responses.failures, failing);
    route.slowBucket = slowBucketOf(usual);
    if (route.slowBucket < DurationBuckets) {
        route.durations.add(responses.timed(),
                            responses.timedFrom(route.slowBucket),
                            largestShare(route, [bucket = route.slowBucket](const Counts &counts) {
                                return usualShare(counts.timedFrom(bucket), counts.timed());
                            }));
    }
}

} // namespace

void Evidence::add(std::uint64_t responses, std::uint64_t bad, double usual)
{
    const double good = usual + Tolerance * (1 - usual);
    const double worse = usual + Damage * (1 - usual);
    const double ratio = static_cast<double>(bad) * std::log(worse / good)
                         + static_cast<double>(responses - bad) * std::log((1 - worse) / (1 - good));
    total += ratio;
    recent = std::max(0.0, recent + ratio);
}

void SequentialTest::update(const RouteCounts &sums)
{
    for (const auto &[route, sum] : sums) {
        addCounts(m_routes[route], sum);
    }
}

Reason SequentialTest::strongest(double limit) const
{
    auto reason = Reason::None;
    for (const auto &[name, route] : m_routes) {
        if (route.failures.recent > limit) {
            limit = route.failures.recent;
            reason = Reason::Failures;
        }
        if (route.durations.recent > limit) {
            limit = route.durations.recent;
            reason = Reason::Durations;
        }
    }
    return reason;
}

Reason SequentialTest::verdict(bool isTimeUp) const
{
    const auto reason = strongest(std::log(isTimeUp ? SuspicionRatio : 1 / FalseAlarmRate));
    if (reason != Reason::None || !isTimeUp) {
        return reason;
    }
    // Too few responses to decide, but what there is speaks against the version.
    for (const auto &[name, route] : m_routes) {
        if (route.failures.total > 0 || route.durations.total > 0) {
            return route.failures.total > 0 ? Reason::Failures : Reason::Durations;
        }
    }
    return Reason::None;
}

bool SequentialTest::isAccepted(double missRate) const
{
    if (missRate >= 1) {
        return true;
    }
    if (strongest(std::log(SuspicionRatio)) != Reason::None) {
        return false;
    }
    const auto all = static_cast<double>(newVersion().responses + oldVersions().responses);
    bool hasEvidence = false;
    for (const auto &[name, route] : m_routes) {
        const auto share =
            static_cast<double>(route.counted.newVersion.responses + route.counted.oldVersions.responses) / all;
        if (share < MinRouteShare) {
            continue;
        }
        hasEvidence = true;
        const double limit = std::log(share < MainRouteShare ? std::sqrt(missRate) : missRate);
        const bool isTimed = route.slowBucket < DurationBuckets;
        if (route.failures.total > limit || (isTimed && route.durations.total > limit)) {
            return false;
        }
    }
    return hasEvidence;
}

const std::map<core::RouteName, RouteEvidence> &SequentialTest::routes() const
{
    return m_routes;
}

Counts SequentialTest::newVersion() const
{
    Counts sum;
    for (const auto &[name, route] : m_routes) {
        sum += route.counted.newVersion;
    }
    return sum;
}

Counts SequentialTest::oldVersions() const
{
    Counts sum;
    for (const auto &[name, route] : m_routes) {
        sum += route.counted.oldVersions;
    }
    return sum;
}

} // namespace pimentoshed::rollouts
