#include "routing/assignoptions.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

bool contains(std::span<const core::TargetId> ids, const core::TargetId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

bool isAllowed(const AssignOptions &options, const core::TargetId &id)
{
    return !contains(options.excludedTargets, id)
           && (options.allowedTargets.empty() || contains(options.allowedTargets, id));
}

} // namespace pimentoshed::routing
