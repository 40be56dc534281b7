/**
 * @file
 * Behaviour that varies between routers.
 */
#pragma once

#include "configuration/model.h"
#include "core/random.h"
#include "membership/requestpace.h"
#include "rollouts/versionshare.h"
#include "routing/picker.h"
#include "targets/target.h"

#include <functional>

namespace pimentoshed::routing
{

/** Returns whether this host may send another request to a cold target now. */
using CanSendToColdHook = std::function<bool(const targets::Target &, const configuration::Service &, core::TimePoint)>;

/** Called for each request that is assigned to a cold target. */
using ColdAssignedHook = std::function<void(const targets::Target &, const configuration::Service &, core::TimePoint)>;

/** Returns the pace of this host's requests to a target that names a limit of requests per second. */
using RequestPaceHook = std::function<membership::RequestPace(const targets::Target &, double limit)>;

/** Behaviour that varies between routers. */
struct RouterHooks {
    Picker picker;
    core::RandomSource random;
    /** Whether late and failing targets are ejected. Off in the baselines of comparisons. */
    bool ejectsOutliers = true;
    /** If empty, cold targets are limited only by the service's cold slots at this host. */
    CanSendToColdHook canSendToCold{};
    ColdAssignedHook onColdAssigned{};
    /** If empty, this host alone uses the whole request limit of a target. */
    RequestPaceHook requestPace{};
    /** If empty, requests are not divided by the targets' software versions. */
    rollouts::VersionShareHook versionShare{};
};

} // namespace pimentoshed::routing
