#include "replay/faketarget.h"

#include <algorithm>

namespace pimentoshed::replay
{

FakeTarget::FakeTarget(const targets::Target &target, unsigned slots, unsigned coldSlots)
    : m_target(target)
    , m_slots(slots)
    , m_coldSlots(coldSlots)
{
}

ReceiveResult FakeTarget::receive(core::TimePoint now)
{
    if (now < m_failsUntil) {
        return ReceiveResult::Failed;
    }
    if (m_target.condition == targets::Condition::Cold && m_inProgress >= m_coldSlots) {
        return ReceiveResult::ColdOverload;
    }
    if (m_inProgress >= m_slots) {
        return ReceiveResult::Shed;
    }
    ++m_inProgress;
    return ReceiveResult::Accepted;
}

/** Requests progress at a fraction of the usual speed in slow periods, which are in order of time and known in advance.
 */
core::TimePoint FakeTarget::completionTime(core::Duration serviceTime, core::TimePoint now) const
{
    auto remaining = std::chrono::duration<double, std::nano>(serviceTime).count();
    for (const auto &period : m_slowPeriods) {
        if (period.until <= now) {
            continue;
        }
        const auto untilPeriod = static_cast<double>((period.from - now).count());
        if (untilPeriod >= remaining) {
            break;
        }
        remaining -= std::max(untilPeriod, 0.0);
        now = std::max(now, period.from);
        const auto workInPeriod = static_cast<double>((period.until - now).count()) / period.slowdown;
        if (workInPeriod >= remaining) {
            return now + core::Duration(static_cast<core::Duration::rep>(remaining * period.slowdown));
        }
        remaining -= workInPeriod;
        now = period.until;
    }
    return now + core::Duration(static_cast<core::Duration::rep>(remaining));
}

void FakeTarget::finish()
{
    --m_inProgress;
}

void FakeTarget::addSlowPeriod(core::TimePoint from, core::Duration length, double slowdown)
{
    m_slowPeriods.push_back({from, from + length, slowdown});
}

void FakeTarget::failUntil(core::TimePoint end)
{
    m_failsUntil = end;
}

void FakeTarget::setReportedLoad(unsigned load)
{
    m_falseLoad = load;
}

void FakeTarget::setCondition(targets::Condition condition)
{
    m_target.condition = condition;
    ++m_target.version.sequence;
}

const targets::Target &FakeTarget::target() const
{
    return m_target;
}

unsigned FakeTarget::reportedLoad() const
{
    return m_falseLoad.value_or(m_inProgress);
}

} // namespace pimentoshed::replay
