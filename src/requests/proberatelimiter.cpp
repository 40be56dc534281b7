#include "requests/proberatelimiter.h"

namespace pimentoshed::requests
{

bool ProbeRateLimiter::tryAcquire(const core::TargetId &target, double probesPerSecond, bool owned, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (!owned || probesPerSecond <= 0) {
        m_next.erase(target);
        return false;
    }
    const auto interval =
        std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1 / probesPerSecond));
    const auto [next, gained] = m_next.try_emplace(target, now + interval);
    if (gained || now < next->second) {
        return false;
    }
    next->second = now + interval;
    return true;
}

} // namespace pimentoshed::requests
