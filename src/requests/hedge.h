/**
 * @file
 * Decides whether a second attempt of a slow request is made beside the first one.
 */
#pragma once

#include "configuration/model.h"
#include "core/time.h"

#include <functional>
#include <optional>

namespace pimentoshed::requests
{

/** A request whose first attempt was sent, as input to the decision about a second one. */
struct HedgeCandidate {
    const configuration::Service &service;
    const configuration::Route &route;
    bool idempotent = false;
    /** Targets that the request was sent to. */
    unsigned attempts = 1;
    /** Time left until the request's deadline. */
    core::Duration timeLeft{};
};

/** Returns how long to wait for the first attempt's response before a second attempt; none if there must be none. */
using HedgeDelayHook = std::function<std::optional<core::Duration>(const HedgeCandidate &)>;

/** Called when that time has passed. Whether a second attempt may be made now; if so, it is counted. */
using HedgeHook = std::function<bool(const HedgeCandidate &)>;

} // namespace pimentoshed::requests
