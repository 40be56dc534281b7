#include "rollouts/counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pimentoshed::rollouts
{

namespace
{

constexpr auto FirstLimit = std::chrono::milliseconds(5);

std::array<core::Duration, DurationBuckets - 1> makeLimits()
{
    std::array<core::Duration, DurationBuckets - 1> limits{};
    for (std::size_t bucket = 0; bucket < limits.size(); ++bucket) {
        const auto factor = std::pow(2.0, static_cast<double>(bucket) / 2);
        limits.at(bucket) = std::chrono::duration_cast<core::Duration>(FirstLimit * factor);
    }
    return limits;
}

const std::array<core::Duration, DurationBuckets - 1> Limits = makeLimits();

} // namespace

core::Duration bucketLimit(std::size_t bucket)
{
    return bucket < Limits.size() ? Limits.at(bucket) : core::Duration::max();
}

std::size_t bucketOf(core::Duration duration)
{
    const auto *const limit = std::lower_bound(Limits.begin(), Limits.end(), duration);
    return static_cast<std::size_t>(limit - Limits.begin());
}

Counts &Counts::operator+=(const Counts &other)
{
    responses += other.responses;
    failures += other.failures;
    std::transform(durations.begin(), durations.end(), other.durations.begin(), durations.begin(), std::plus<>());
    return *this;
}

Counts &Counts::operator-=(const Counts &other)
{
    responses -= other.responses;
    failures -= other.failures;
    std::transform(durations.begin(), durations.end(), other.durations.begin(), durations.begin(), std::minus<>());
    return *this;
}

std::uint64_t Counts::timed() const
{
    return timedFrom(0);
}

std::uint64_t Counts::timedFrom(std::size_t bucket) const
{
    return std::accumulate(durations.begin() + static_cast<std::ptrdiff_t>(std::min(bucket, DurationBuckets)),
                           durations.end(),
                           std::uint64_t{0});
}

} // namespace pimentoshed::rollouts
