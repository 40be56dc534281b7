#include "membership/requestpace.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::membership
{

namespace
{

/** Part of the limit that the chosen hosts share if there are others. */
constexpr double ChosenPart = 0.8;
/** Requests of one chosen host that may follow at once, as requests don't arrive evenly. */
constexpr unsigned ChosenBurst = 2;
/** Lower bound of a limit, so that its end is noticed: a target that takes nothing gets a request in ten seconds. */
constexpr double MinLimit = 0.1;
/** Bounds of the time between two requests of a host that is not chosen. */
constexpr double MinOtherSeconds = 5;
constexpr double MaxOtherSeconds = 60;

core::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

/** The number of usual hosts that precede @p self in the order of the rendezvous weights for @p target. */
std::size_t rankOf(const core::HostId &self, const core::TargetId &target, const std::vector<core::HostId> &usualHosts)
{
    const auto own = rendezvousWeight(self.str(), target.str());
    return static_cast<std::size_t>(std::count_if(usualHosts.begin(), usualHosts.end(), [&](const core::HostId &host) {
        return rendezvousWeight(host.str(), target.str()) > own;
    }));
}

} // namespace

RequestPace requestPace(const core::TargetId &target,
                        double limit,
                        const RequestSenders &senders,
                        const core::HostId &self)
{
    const auto &usualHosts = senders.usualHosts;
    const double effective = std::max(limit, MinLimit);
    const double wanted = std::min(std::max(1.0, std::floor(effective)), static_cast<double>(usualHosts.size()));
    const auto chosenCount = static_cast<std::size_t>(wanted);
    const auto otherCount = std::max(senders.hostCount, usualHosts.size()) - chosenCount;
    const bool isUsual = std::find(usualHosts.begin(), usualHosts.end(), self) != usualHosts.end();
    if (isUsual && rankOf(self, target, usualHosts) < chosenCount) {
        const double part = otherCount == 0 ? 1 : ChosenPart;
        return {fromSeconds(static_cast<double>(chosenCount) / (part * effective)), ChosenBurst};
    }
    const double part = chosenCount == 0 ? 1 : 1 - ChosenPart;
    const double seconds = static_cast<double>(std::max<std::size_t>(otherCount, 1)) / (part * effective);
    return {fromSeconds(chosenCount == 0 ? seconds : std::clamp(seconds, MinOtherSeconds, MaxOtherSeconds)), 1};
}

} // namespace pimentoshed::membership
