/**
 * @file
 * How long a refused caller should wait before it returns.
 */
#pragma once

#include "core/error.h"
#include "core/random.h"
#include "core/time.h"
#include "requests/outcome.h"

#include <optional>

namespace pimentoshed::requests
{

/** What is known of the service that the refused request was for. */
struct RefusedService {
    core::Duration usualProcessingTime{};
    /** How long all of its targets want no requests. */
    core::Duration pause{};
};

/**
 * Returns Retry-After for a request that ended with @p outcome: none unless it is proven that the request did not run.
 * @p service is nothing if it isn't known. Jitter of up to the same length is added, so that refused callers don't all
 * return at once.
 */
std::optional<core::Duration> retryAfter(const RequestOutcome &outcome,
                                         const std::optional<RefusedService> &service,
                                         const core::RandomSource &random);

} // namespace pimentoshed::requests
