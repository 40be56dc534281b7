#include "control/targetregistry.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::control
{

TargetRegistry::TargetRegistry(Dependencies parts)
    : m_parts(std::move(parts))
{
}

targets::UpdateResult TargetRegistry::announce(targets::Target target, core::TimePoint leaseEnd)
{
    target.origin = m_parts.self;
    target = m_parts.asWithdrawn(target);
    const auto reception = m_table.announce(target, leaseEnd);
    if (reception == targets::UpdateResult::Changed) {
        core::log(core::LogLevel::Info,
                  "target-announced",
                  {{"target", target.id.str()},
                   {"service", target.service.str()},
                   {"address", target.address},
                   {"condition", core::nameOf(targets::ConditionNames, target.condition)}});
        if (const auto known = m_table.find(target.id)) {
            m_parts.hub.updateTarget(*known);
        }
    }
    return reception;
}

void TargetRegistry::learn(const targets::Target &target, membership::UpdateSource teller)
{
    const auto reception = m_table.update(m_parts.asWithdrawn(target));
    if (reception != targets::UpdateResult::Changed && reception != targets::UpdateResult::Reasserted) {
        return;
    }
    const auto known = m_table.find(target.id);
    // A word that this host sets right is its own.
    const bool own = reception == targets::UpdateResult::Reasserted;
    if (known) {
        m_parts.hub.updateTarget(*known, own ? membership::UpdateSource::Own : teller);
    }
}

void TargetRegistry::expire(core::TimePoint now)
{
    for (const auto &target : m_table.expire(now)) {
        core::log(core::LogLevel::Warning, "target-lease-ended", {{"target", target.id.str()}});
        m_parts.hub.updateTarget(target);
    }
}

void TargetRegistry::adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd)
{
    m_table.adoptLeases(origin, leaseEnd);
}

std::optional<targets::Target> TargetRegistry::find(const core::TargetId &id) const
{
    auto target = m_table.find(id);
    const auto heard = m_table.lastAnnouncedVersion(id);
    if (target && heard && heard->incarnation == target->version.incarnation) {
        target->version.sequence = std::max(target->version.sequence, heard->sequence);
    }
    return target;
}

} // namespace pimentoshed::control
