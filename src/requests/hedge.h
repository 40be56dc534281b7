/**
 * @file
 * Decides whether a second attempt of a slow request is made beside the first one.
 */
#pragma once

#include "configuration/model.h"
#include "core/enumtable.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
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

/** How much of a service's capacity is in use, as far as this host knows. */
struct ServiceUse {
    /** Share of the slots of its targets that is in use, 0 to 1. */
    double usedShare = 0;
    /** Requests that wait at this host for a target. */
    std::size_t waiting = 0;
};

using ServiceUseHook = std::function<ServiceUse(const core::ServiceName &)>;

/** What became of a second attempt. */
enum class HedgeOutcome : std::uint8_t {
    /** Its response went to the caller. */
    Won,
    /** The first attempt's response went to the caller, or the caller left. */
    Cancelled,
    /** It failed. */
    Failed,
    /** There was no target for it, so that nothing was sent. */
    NoTarget,
};

inline constexpr std::array HedgeOutcomeNames{
    core::EnumName<HedgeOutcome>{HedgeOutcome::Won, "won"},
    core::EnumName<HedgeOutcome>{HedgeOutcome::Cancelled, "cancelled"},
    core::EnumName<HedgeOutcome>{HedgeOutcome::Failed, "failed"},
    core::EnumName<HedgeOutcome>{HedgeOutcome::NoTarget, "no-target"},
};

/**
 * Decide on second attempts and learn from the attempts that have ended. A hook that wraps mayHedge can refuse a second
 * attempt for reasons of its own, such as the quota of a workspace, before or after it asks the hook that it wraps.
 */
struct HedgeHooks {
    HedgeDelayHook delay;
    HedgeHook mayHedge;
    /** Takes back what mayHedge counted, for an attempt that was not made. */
    std::function<void(const configuration::Service &)> giveBack;
    /** Called when a first attempt was answered, or given up for another one's response, after the given time. */
    std::function<void(const configuration::Service &, const configuration::Route &, core::Duration)> onResponse;
    /** Called when a target had no room for a request. */
    std::function<void(const configuration::Service &)> onShed;
    /** Called once for each second attempt that mayHedge allowed. */
    std::function<void(const core::ServiceName &, HedgeOutcome)> onEnd;
};

} // namespace pimentoshed::requests
