#include "targets/targettable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pimentoshed::targets
{

namespace
{

/** The parts of @p version to compare without the lease epoch, which hosts add to an announcement. */
auto withoutLeaseEpoch(const AnnouncementVersion &version)
{
    return std::tuple(version.incarnation, version.withdrawn, version.sequence);
}

/** Whether both are equal apart from their versions and origins. */
bool isSameExceptVersion(Target left, const Target &right)
{
    left.version = right.version;
    left.origin = right.origin;
    return left == right;
}

/** Adds to @p withdrawal, which names only a target and its incarnation, what @p known says about that target. */
void addDetails(Target &withdrawal, const Target &known)
{
    withdrawal.service = known.service;
    withdrawal.domain = known.domain;
    withdrawal.address = known.address;
    withdrawal.slots = known.slots;
}

} // namespace

TargetTable::TargetTable(ChangeHook onChange)
    : m_onChange(std::move(onChange))
{
}

UpdateResult TargetTable::announce(Target target, core::TimePoint leaseEnd)
{
    const core::Lock lock(m_mutex);
    const auto id = target.id;
    const auto result = keepLease(std::move(target), leaseEnd);
    if (result != UpdateResult::Stale) {
        m_entries.at(id).announcedUntil = leaseEnd;
    }
    return result;
}

UpdateResult TargetTable::restore(const Target &target, core::TimePoint leaseEnd)
{
    const core::Lock lock(m_mutex);
    return keepLease(target, leaseEnd);
}

UpdateResult TargetTable::keepLease(Target target, core::TimePoint leaseEnd)
{
    const auto lease = target.condition == Condition::Gone ? std::nullopt : std::optional(leaseEnd);
    const auto found = m_entries.find(target.id);
    if (found == m_entries.end()) {
        insert(target, lease);
        return UpdateResult::Changed;
    }
    auto &entry = found->second;
    const auto &stored = entry.target;
    if (withoutLeaseEpoch(target.version)
        < std::max(withoutLeaseEpoch(stored.version), withoutLeaseEpoch(entry.lastAnnounced))) {
        return UpdateResult::Stale;
    }
    const bool isSameVersion = withoutLeaseEpoch(target.version) == withoutLeaseEpoch(stored.version);
    const bool isSameIncarnation = target.version.incarnation == stored.version.incarnation;
    // A lease that this host has only adopted becomes its own with the first announcement, so that others learn of it.
    const bool isOwnLease = entry.leaseEnd && entry.announcedUntil && stored.origin == target.origin;
    if (isSameIncarnation && isOwnLease && isSameExceptVersion(target, stored)) {
        entry.leaseEnd = lease;
        entry.lastAnnounced = target.version;
        return UpdateResult::Renewed;
    }
    target.version.leaseEpoch = isSameVersion ? stored.version.leaseEpoch + 1 : 0;
    replace(entry, target, lease);
    return UpdateResult::Changed;
}

UpdateResult TargetTable::update(Target target)
{
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(target.id);
    if (found == m_entries.end()) {
        insert(target, std::nullopt);
        return UpdateResult::Changed;
    }
    auto &entry = found->second;
    if (target.service.empty()) {
        addDetails(target, entry.target);
    }
    if (target.version < entry.target.version) {
        return UpdateResult::Stale;
    }
    const bool hasOnlyLeaseEnded = target.condition == Condition::Gone
                                   && withoutLeaseEpoch(target.version) == withoutLeaseEpoch(entry.target.version);
    if (hasOnlyLeaseEnded && entry.leaseEnd) {
        entry.target.version.leaseEpoch = target.version.leaseEpoch + 1;
        return UpdateResult::Reasserted;
    }
    // If one host has ended a lease without knowing that another one had taken it over, both records have the same
    // version, and the latter is right.
    const bool isTakenOver = entry.target.condition == Condition::Gone && target.condition != Condition::Gone;
    if (target.version == entry.target.version && !isTakenOver) {
        return UpdateResult::Renewed;
    }
    replace(entry, target, std::nullopt);
    return UpdateResult::Changed;
}

void TargetTable::adoptLeases(const core::HostId &origin, core::TimePoint leaseEnd)
{
    const core::Lock lock(m_mutex);
    for (auto &[id, entry] : m_entries) {
        if (entry.target.origin == origin && entry.target.condition != Condition::Gone && !entry.leaseEnd) {
            entry.leaseEnd = leaseEnd;
        }
    }
}

void TargetTable::releaseLease(const core::TargetId &id, const core::HostId &origin)
{
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.target.origin == origin) {
        found->second.leaseEnd.reset();
    }
}

std::vector<Target> TargetTable::expire(core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    std::vector<Target> expired;
    for (auto &[id, entry] : m_entries) {
        if (!entry.leaseEnd || *entry.leaseEnd > now) {
            continue;
        }
        entry.leaseEnd.reset();
        entry.target.condition = Condition::Gone;
        ++entry.target.version.leaseEpoch;
        notify(entry.target);
        expired.push_back(entry.target);
    }
    return expired;
}

std::vector<Target> TargetTable::ofService(const core::ServiceName &service) const
{
    const core::Lock lock(m_mutex);
    std::vector<Target> found;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return found;
    }
    found.reserve(ids->second.size());
    for (const auto &id : ids->second) {
        const auto &target = m_entries.at(id).target;
        if (target.condition != Condition::Gone) {
            found.push_back(target);
        }
    }
    return found;
}

std::vector<Target> TargetTable::all() const
{
    const core::Lock lock(m_mutex);
    std::vector<Target> found;
    found.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        found.push_back(entry.target);
    }
    return found;
}

std::optional<Target> TargetTable::find(const core::TargetId &id) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.target);
}

std::optional<AnnouncementVersion> TargetTable::lastAnnouncedVersion(const core::TargetId &id) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.lastAnnounced);
}

bool TargetTable::isAnnouncedHere(const core::TargetId &id, core::TimePoint now) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.announcedUntil && now < *found->second.announcedUntil;
}

std::size_t TargetTable::size() const
{
    const core::Lock lock(m_mutex);
    return m_entries.size();
}

void TargetTable::replace(Entry &entry, const Target &target, std::optional<core::TimePoint> leaseEnd)
{
    if (entry.target.service != target.service) {
        std::erase(m_byService[entry.target.service], target.id);
        m_byService[target.service].push_back(target.id);
    }
    const bool isSameIncarnation = entry.target.version.incarnation == target.version.incarnation;
    entry = Entry{target, leaseEnd, target.version, isSameIncarnation ? entry.announcedUntil : std::nullopt};
    notify(target);
}

void TargetTable::insert(const Target &target, std::optional<core::TimePoint> leaseEnd)
{
    m_entries.emplace(target.id, Entry{target, leaseEnd, target.version});
    m_byService[target.service].push_back(target.id);
    notify(target);
}

void TargetTable::notify(const Target &target) const
{
    if (m_onChange) {
        m_onChange(target);
    }
}

} // namespace pimentoshed::targets
