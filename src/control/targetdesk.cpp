#include "control/targetdesk.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::control
{

TargetDesk::TargetDesk(Parts parts)
    : m_parts(std::move(parts))
{
}

targets::Reception TargetDesk::announce(targets::Target target, core::TimePoint leaseEnd)
{
    target.origin = m_parts.self;
    target = m_parts.asWithdrawn(target);
    const auto reception = m_table.announce(target, leaseEnd);
    if (reception == targets::Reception::Changed) {
        core::log(core::LogLevel::Info,
                  "target-announced",
                  {{"target", target.id.str()},
                   {"service", target.service.str()},
                   {"address", target.address},
                   {"condition", core::nameOf(targets::ConditionNames, target.condition)}});
        if (const auto known = m_table.find(target.id)) {
            m_parts.hub.learn(*known);
        }
    }
    return reception;
}

void TargetDesk::learn(const targets::Target &target, membership::Teller teller)
{
    const auto reception = m_table.learn(m_parts.asWithdrawn(target));
    if (reception != targets::Reception::Changed && reception != targets::Reception::Reasserted) {
        return;
    }
    const auto known = m_table.find(target.id);
    // A word that this host sets right is its own.
    const bool own = reception == targets::Reception::Reasserted;
    if (known) {
        m_parts.hub.learn(*known, own ? membership::Teller::Own : teller);
    }
}

void TargetDesk::expire(core::TimePoint now)
{
    for (const auto &target : m_table.expire(now)) {
        core::log(core::LogLevel::Warning, "target-lease-ended", {{"target", target.id.str()}});
        m_parts.hub.learn(target);
    }
}

void TargetDesk::adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd)
{
    m_table.adoptLeases(origin, leaseEnd);
}

std::optional<targets::Target> TargetDesk::find(const core::TargetId &id) const
{
    auto target = m_table.find(id);
    const auto heard = m_table.heard(id);
    if (target && heard && heard->incarnation == target->word.incarnation) {
        target->word.sequence = std::max(target->word.sequence, heard->sequence);
    }
    return target;
}

} // namespace pimentoshed::control
