/**
 * @file
 * On whose behalf a request is sent.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace pimentoshed::workspaces
{

/** The workspace of a request. */
struct Caller {
    /** None on a public route, and in a configuration without workspaces. */
    std::shared_ptr<const configuration::Workspace> workspace;
};

/**
 * Identifies the caller of a request to @p route by @p credentials: the values of the headers that carry keys, in the
 * order of the request. Error KeyUnknown if the route needs a key, and there is not exactly one that a workspace holds.
 */
using IdentifyHook = std::function<core::Result<Caller>(const configuration::Configuration &,
                                                        const configuration::Route &route,
                                                        std::span<const std::string_view> credentials)>;

} // namespace pimentoshed::workspaces
