#include "entry/countreporter.h"

#include <utility>

namespace pimentoshed::entry
{

namespace
{

/** A version must be taken back within seconds, and each report costs some hundred bytes. */
constexpr auto ReportPeriod = std::chrono::milliseconds(200);

} // namespace

CountReporter::CountReporter(core::TimerService &timers, const rollouts::ActiveRollouts &rollouts, SendHook send)
    : m_timers(timers)
    , m_rollouts(rollouts)
    , m_send(std::move(send))
{
}

void CountReporter::update()
{
    const bool isCounting = m_rollouts.isCounting();
    const core::Lock lock(m_mutex);
    if (m_isStopped || isCounting == m_isReporting) {
        return;
    }
    m_isReporting = isCounting;
    if (isCounting) {
        m_timer = m_timers.every(ReportPeriod, [this]() {
            report();
        });
    } else {
        m_timer.cancel();
    }
}

void CountReporter::stop()
{
    const core::Lock lock(m_mutex);
    m_isStopped = true;
    m_timer.cancel();
}

void CountReporter::report() const
{
    const auto totals = m_rollouts.totals();
    if (!totals.empty()) {
        m_send(totals);
    }
}

} // namespace pimentoshed::entry
