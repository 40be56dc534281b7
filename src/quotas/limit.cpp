#include "quotas/limit.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::quotas
{

namespace
{

/** Part of the tolerance for requests that are unused in leases. The reserve gets as much. */
constexpr double LeasePart = 0.5;
/** Requests of the tolerance that are not used: for hosts whose lists of hosts differ for a moment. */
constexpr double SpareRequests = 2;

} // namespace

double tolerance(const Limit &limit)
{
    return (limit.rate * core::toSeconds(Window) + limit.burst) * Excess + Slack;
}

double room(const Limit &limit)
{
    return limit.burst + tolerance(limit) * LeasePart - SpareRequests / 2;
}

double bucketDepth(const Limit &limit)
{
    return (limit.burst + room(limit)) / 2;
}

unsigned reserve(const Limit &limit)
{
    return static_cast<unsigned>(std::floor(tolerance(limit) * (1 - LeasePart) - SpareRequests / 2));
}

unsigned reservePart(const Limit &limit,
                     const core::WorkspaceName &workspace,
                     const std::vector<core::HostId> &hosts,
                     const core::HostId &host)
{
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        return 0;
    }
    const auto own = membership::rendezvousWeight(host.str(), workspace.str());
    const auto rank = std::count_if(hosts.begin(), hosts.end(), [&](const core::HostId &other) {
        return membership::rendezvousWeight(other.str(), workspace.str()) > own;
    });
    const auto count = static_cast<unsigned>(hosts.size());
    const auto whole = reserve(limit);
    return whole / count + (static_cast<unsigned>(rank) < whole % count ? 1 : 0);
}

} // namespace pimentoshed::quotas
