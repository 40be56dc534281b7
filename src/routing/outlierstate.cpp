#include "routing/outlierstate.h"

#include <algorithm>

namespace pimentoshed::routing
{

namespace
{

constexpr core::Duration MinPause = std::chrono::milliseconds(2);
constexpr core::Duration MaxPause = std::chrono::seconds(2);

} // namespace

void OutlierState::markOutlier(core::TimePoint now, core::Duration pause)
{
    if (m_isOutlier) {
        return;
    }
    m_isOutlier = true;
    m_isProbationRunning = false;
    m_pause = std::clamp(pause, MinPause, MaxPause);
    m_nextProbation = now + m_pause;
}

void OutlierState::passProbation()
{
    m_isOutlier = false;
    m_isProbationRunning = false;
}

void OutlierState::failProbation(core::TimePoint now)
{
    m_isProbationRunning = false;
    m_pause = std::min(2 * m_pause, MaxPause);
    m_nextProbation = now + m_pause;
}

} // namespace pimentoshed::routing
