/**
 * @file
 * How requests are divided between the software versions of a service's targets while a rollout is in progress.
 */
#pragma once

#include "core/ids.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentoshed::rollouts
{

/** The division of a service's requests. */
struct VersionShare {
    /** The version that the requests are moved to. */
    std::string softwareVersion;
    /** Share of the requests that goes to targets of this version, 0 to 1. Targets of other versions get the rest. */
    double share = 0;
};

/** Returns the division of the requests of a service; none if its targets' versions don't matter. */
using VersionShareHook = std::function<std::optional<VersionShare>(const core::ServiceName &service)>;

} // namespace pimentoshed::rollouts
