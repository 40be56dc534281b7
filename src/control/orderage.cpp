#include "control/orderage.h"

#include <utility>

namespace pimentoshed::control
{

namespace
{

/** With a pause that is not noticed, the order is at most as old as its caller is patient. */
constexpr auto MaxProcessingTime = CallerPatience - LongestPause;
/** Within this time after a stall, all that arrived during it is read: the sockets and the beats share one queue. */
constexpr auto CatchUpTime = std::chrono::seconds(1);

} // namespace

OrderAge::OrderAge(core::StallMonitor &stalls, core::StallMonitor::BootClockHook now)
    : m_stalls(stalls)
    , m_now(std::move(now))
    , m_readAt(m_now())
{
}

bool OrderAge::mayBeStale() const
{
    return m_now() - m_readAt > MaxProcessingTime || m_stalls.hasStalledSince(m_readAt - CatchUpTime);
}

} // namespace pimentoshed::control
