#include "routing/outlierstate.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

constexpr core::Duration ShortestPause = std::chrono::milliseconds(2);
constexpr core::Duration LongestPause = std::chrono::seconds(2);

} // namespace

void OutlierState::raise(core::TimePoint now, core::Duration pause)
{
    if (m_suspect) {
        return;
    }
    m_suspect = true;
    m_trialRunning = false;
    m_pause = std::clamp(pause, ShortestPause, LongestPause);
    m_nextTrial = now + m_pause;
}

void OutlierState::passTrial()
{
    m_suspect = false;
    m_trialRunning = false;
}

void OutlierState::failTrial(core::TimePoint now)
{
    m_trialRunning = false;
    m_pause = std::min(2 * m_pause, LongestPause);
    m_nextTrial = now + m_pause;
}

} // namespace pimentoshed::routing
