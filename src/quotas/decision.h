/**
 * @file
 * The decision whether a request is within its workspace's quota.
 */
#pragma once

#include "configuration/model.h"
#include "core/time.h"

#include <functional>

namespace pimentoshed::quotas
{

/** Whether a request is within its workspace's quota. */
struct Decision {
    bool admitted = true;
    /** If it is not admitted: when the workspace can send again. */
    core::Duration retryAfter{};
};

/**
 * Takes one request of the quota of @p workspace and passes the decision to the callback, at once or later on any
 * worker, by @p latest at the latest.
 */
using SpendHook = std::function<void(
    const configuration::Workspace &workspace, core::TimePoint latest, std::function<void(Decision)> callback)>;

/** Gives back what was spent for a request that did not run. */
using GiveBackHook = std::function<void(const configuration::Workspace &workspace)>;

} // namespace pimentoshed::quotas
