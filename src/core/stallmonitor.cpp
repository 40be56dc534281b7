#include "core/stallmonitor.h"

#include "core/log.h"

#include <utility>

namespace pimentoshed::core
{

StallMonitor::StallMonitor(Duration longestPause, BootClockHook now)
    : m_longestPause(longestPause)
    , m_now(std::move(now))
{
}

void StallMonitor::beat()
{
    const Lock lock(m_mutex);
    const auto now = m_now();
    noticeGap(now);
    m_lastBeat = now;
}

bool StallMonitor::hasStalledSince(BootTime since)
{
    const Lock lock(m_mutex);
    // After a stall this may run before the next beat.
    noticeGap(m_now());
    return m_stallEnd >= since;
}

void StallMonitor::noticeGap(BootTime now)
{
    if (!m_lastBeat || now - *m_lastBeat <= m_longestPause) {
        return;
    }
    log(LogLevel::Warning, "process-stalled", {{"for_s", toSeconds(now - *m_lastBeat)}});
    m_stallEnd = now;
    m_lastBeat = now;
}

} // namespace pimentoshed::core
