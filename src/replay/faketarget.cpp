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
        return ReceiveResult::FellOver;
    }
    if (m_inProgress >= m_slots) {
        return ReceiveResult::Shed;
    }
    ++m_inProgress;
    return ReceiveResult::Runs;
}

/** Work goes on at a fraction of the speed within each spell. Spells are in order and known ahead. */
core::TimePoint FakeTarget::endOf(core::Duration work, core::TimePoint now) const
{
    auto left = std::chrono::duration<double, std::nano>(work).count();
    for (const auto &spell : m_spells) {
        if (spell.until <= now) {
            continue;
        }
        const auto before = static_cast<double>((spell.from - now).count());
        if (before >= left) {
            break;
        }
        left -= std::max(before, 0.0);
        now = std::max(now, spell.from);
        const auto within = static_cast<double>((spell.until - now).count()) / spell.slowdown;
        if (within >= left) {
            return now + core::Duration(static_cast<core::Duration::rep>(left * spell.slowdown));
        }
        left -= within;
        now = spell.until;
    }
    return now + core::Duration(static_cast<core::Duration::rep>(left));
}

void FakeTarget::finish()
{
    --m_inProgress;
}

void FakeTarget::straggle(core::TimePoint from, core::Duration length, double slowdown)
{
    m_spells.push_back({from, from + length, slowdown});
}

void FakeTarget::failUntil(core::TimePoint end)
{
    m_failsUntil = end;
}

void FakeTarget::misreport(unsigned load)
{
    m_falseLoad = load;
}

void FakeTarget::change(targets::Condition condition)
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
