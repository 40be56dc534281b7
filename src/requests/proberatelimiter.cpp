#include "requests/proberatelimiter.h"

namespace pimentoshed::requests
{

bool ProbeRateLimiter::tryAcquire(const core::TargetId &target,
                                  double probesPerSecond,
                                  bool isOwner,
                                  core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (!isOwner || probesPerSecond <= 0) {
        m_nextProbe.erase(target);
        return false;
    }
    const auto interval =
        std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1 / probesPerSecond));
    const auto [next, isNewOwner] = m_nextProbe.try_emplace(target, now + interval);
    if (isNewOwner || now < next->second) {
        return false;
    }
    next->second = now + interval;
    return true;
}

} // namespace pimentoshed::requests
