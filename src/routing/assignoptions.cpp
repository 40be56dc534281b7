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

bool matches(const std::optional<VersionFilter> &filter, std::string_view softwareVersion)
{
    return !filter || (softwareVersion == filter->version) == filter->only;
}

bool isAllowed(const AssignOptions &options, const targets::Target &target)
{
    return !contains(options.excludedTargets, target.id)
           && (options.allowedTargets.empty() || contains(options.allowedTargets, target.id))
           && matches(options.softwareVersion, target.softwareVersion);
}

} // namespace pimentoshed::routing
