#include "control/targetregistry.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::control
{

TargetRegistry::TargetRegistry(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

targets::UpdateResult TargetRegistry::announce(targets::Target target, core::TimePoint leaseEnd)
{
    target.origin = m_dependencies.self;
    target = m_dependencies.applyWithdrawal(target);
    const auto result = m_table.announce(target, leaseEnd);
    if (result == targets::UpdateResult::Changed) {
        core::log(core::LogLevel::Info,
                  "target-announced",
                  {{"target", target.id.str()},
                   {"service", target.service.str()},
                   {"address", target.address},
                   {"condition", core::nameOf(targets::ConditionNames, target.condition)}});
        if (const auto known = m_table.find(target.id)) {
            m_dependencies.membershipFeed.updateTarget(*known);
        }
    }
    return result;
}

void TargetRegistry::record(const targets::Target &target, membership::UpdateSource source)
{
    const auto result = m_table.update(m_dependencies.applyWithdrawal(target));
    const bool isReportedHere = result == targets::UpdateResult::Renewed && source == membership::UpdateSource::Own;
    if (isReportedHere && target.origin != m_dependencies.self) {
        m_table.releaseLease(target.id, target.origin);
    }
    if (result == targets::UpdateResult::Stale || (result == targets::UpdateResult::Renewed && !isReportedHere)) {
        return;
    }
    const auto known = m_table.find(target.id);
    // If this host corrected the record, it is the source of the corrected one.
    const bool isOwn = result == targets::UpdateResult::Reasserted;
    if (known) {
        m_dependencies.membershipFeed.updateTarget(*known, isOwn ? membership::UpdateSource::Own : source);
    }
}

std::size_t TargetRegistry::restore(const std::vector<targets::Target> &stored, core::TimePoint leaseEnd)
{
    std::size_t restored = 0;
    for (auto target : stored) {
        // The log may have restored the withdrawal of an earlier incarnation.
        const auto known = m_table.find(target.id);
        if (known && known->version.incarnation >= target.version.incarnation) {
            continue;
        }
        // The origin stays the same: if that host is alive and reports the target, it keeps the lease again.
        target = m_dependencies.applyWithdrawal(target);
        if (m_table.restore(target, leaseEnd) == targets::UpdateResult::Changed) {
            m_dependencies.membershipFeed.updateTarget(target);
            ++restored;
        }
    }
    return restored;
}

void TargetRegistry::expire(core::TimePoint now)
{
    for (const auto &target : m_table.expire(now)) {
        core::log(core::LogLevel::Warning, "target-lease-ended", {{"target", target.id.str()}});
        m_dependencies.membershipFeed.updateTarget(target);
    }
}

void TargetRegistry::adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd)
{
    m_table.adoptLeases(origin, leaseEnd);
}

bool TargetRegistry::isAnnouncedHere(const core::TargetId &id, core::TimePoint now) const
{
    return m_table.isAnnouncedHere(id, now);
}

std::optional<targets::Target> TargetRegistry::find(const core::TargetId &id) const
{
    // Announcements that only raise the sequence number renew the lease and don't change the stored record.
    auto target = m_table.find(id);
    const auto announced = m_table.lastAnnouncedVersion(id);
    if (target && announced && announced->incarnation == target->version.incarnation) {
        target->version.sequence = std::max(target->version.sequence, announced->sequence);
    }
    return target;
}

} // namespace pimentoshed::control
