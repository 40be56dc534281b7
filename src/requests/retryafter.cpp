#include "requests/retryafter.h"

#include <algorithm>

namespace pimentoshed::requests
{

using core::ErrorCode;

namespace
{

/** Lower bound: about the usual time of a response. */
constexpr core::Duration MinRetryAfter = std::chrono::milliseconds(40);
/**
 * Lower bound while this host has no current configuration: when all control hosts restart together, they agree on one
 * within 500 ms.
 */
constexpr core::Duration NotCurrentRetryAfter = std::chrono::milliseconds(250);
/** In multiples of the usual processing time: a queue that made a request miss its objective has drained after that. */
constexpr int RetryAfterResponseTimes = 2;

} // namespace

std::optional<core::Duration> retryAfter(const RequestOutcome &outcome,
                                         const std::optional<RefusedService> &service,
                                         const core::RandomSource &random)
{
    if (outcome.run != RunState::NotRun) {
        return std::nullopt;
    }
    const auto code = outcome.failure->code;
    // Other hosts can take at once what this one refuses because it stops.
    const bool isForCapacity = service && code != ErrorCode::Stopping;
    auto base = MinRetryAfter;
    if (code == ErrorCode::NotCurrent) {
        base = NotCurrentRetryAfter;
    } else if (isForCapacity) {
        base = std::max(MinRetryAfter, RetryAfterResponseTimes * service->usualProcessingTime);
    }
    const auto pause = isForCapacity ? service->pause : core::Duration{};
    return pause + base + base * core::randomBelow(random, 100) / 100;
}

} // namespace pimentoshed::requests
