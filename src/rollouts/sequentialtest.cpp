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
/** Least share of bad responses to assume of the old versions: nothing never fails. */
constexpr double MinUsual = 0.01;
/** With fewer responses of the old versions there is nothing to compare with. */
constexpr std::uint64_t MinReference = 10;
/** Where more of the old versions' responses are bad, nothing can be told about the new one. */
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
/** Evidence of a route above ln of this leans towards "worse": the first is for routes with few responses. */
constexpr double WeakLeanRatio = 3;
constexpr double LeanRatio = 1;
constexpr std::uint64_t FewResponses = 8;
/** A route with a smaller share of the responses needs no evidence of its own, but must not seem worse. */
constexpr double MainRouteShare = 0.1;

double usualShare(std::uint64_t bad, std::uint64_t responses)
{
    const auto share = static_cast<double>(bad) / static_cast<double>(std::max<std::uint64_t>(1, responses));
    return std::max(share, MinUsual);
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

double leanLimit(const Evidence &evidence)
{
    return std::log(evidence.responses < FewResponses ? WeakLeanRatio : LeanRatio);
}

/** Whether the evidence about a route allows to go on, if all routes together need @p limit. */
bool isRouteAccepted(const Evidence &evidence, double limit, bool isMain)
{
    if (evidence.responses == 0) {
        return true;
    }
    return evidence.total <= (isMain ? limit : leanLimit(evidence));
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
    if (usual.responses < MinReference) {
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

void Evidence::add(std::uint64_t added, std::uint64_t bad, double usual)
{
    if (usual > MaxUsual) {
        return;
    }
    const double good = usual + Tolerance * (1 - usual);
    const double worse = usual + Damage * (1 - usual);
    const double ratio = static_cast<double>(bad) * std::log(worse / good)
                         + static_cast<double>(added - bad) * std::log((1 - worse) / (1 - good));
    responses += added;
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
        if (route.failures.total > leanLimit(route.failures)) {
            return Reason::Failures;
        }
        if (route.durations.total > leanLimit(route.durations)) {
            return Reason::Durations;
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
    const double limit = std::log(missRate);
    const auto all = static_cast<double>(newVersion().responses + oldVersions().responses);
    double failures = 0;
    double durations = 0;
    bool isTimed = false;
    for (const auto &[name, route] : m_routes) {
        const auto responses = route.counted.newVersion.responses + route.counted.oldVersions.responses;
        const bool isMain = static_cast<double>(responses) >= MainRouteShare * all;
        if (!isRouteAccepted(route.failures, limit, isMain) || !isRouteAccepted(route.durations, limit, isMain)) {
            return false;
        }
        failures += route.failures.total;
        durations += route.durations.total;
        isTimed = isTimed || route.durations.responses > 0;
    }
    return failures <= limit && (!isTimed || durations <= limit);
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
