/**
 * @file
 * Whether a target is trusted with its usual share, and when it is tried again.
 */
#pragma once

#include "core/time.h"

namespace pimentoshed::routing
{

/**
 * A target becomes suspect by a late or failed attempt. From then on it gets one trial at a time, after a pause that
 * doubles with each trial that goes wrong, until a trial goes well.
 */
class OutlierState
{
public:
    bool suspect() const
    {
        return m_suspect;
    }

    bool trialDue(core::TimePoint now) const
    {
        return m_suspect && !m_trialRunning && now >= m_nextTrial;
    }

    /** Takes note of an attempt that is late or failed. @p pause is the pause before the first trial. */
    void raise(core::TimePoint now, core::Duration pause);

    void startTrial()
    {
        m_trialRunning = true;
    }

    /** A trial ended well: the target is trusted again. */
    void passTrial();

    /** A trial ended badly. */
    void failTrial(core::TimePoint now);

    /** A trial ended and says nothing. */
    void dropTrial()
    {
        m_trialRunning = false;
    }

private:
    bool m_suspect = false;
    bool m_trialRunning = false;
    core::Duration m_pause{};
    core::TimePoint m_nextTrial{};
};

} // namespace pimentoshed::routing
