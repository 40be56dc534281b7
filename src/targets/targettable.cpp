#include "targets/targettable.h"

#include <utility>

namespace pimentoshed::targets
{

TargetTable::TargetTable(ChangeHook onChange)
    : m_onChange(std::move(onChange))
{
}

Reception TargetTable::announce(const Target &target, core::TimePoint leaseEnd)
{
    const core::Lock lock(m_mutex);
    return store(target, leaseEnd);
}

Reception TargetTable::learn(const Target &target)
{
    const core::Lock lock(m_mutex);
    return store(target, std::nullopt);
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
        ++entry.target.word.sequence;
        tell(entry.target);
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

std::size_t TargetTable::size() const
{
    const core::Lock lock(m_mutex);
    return m_entries.size();
}

Reception TargetTable::store(const Target &target, std::optional<core::TimePoint> leaseEnd)
{
    auto [position, isNew] = m_entries.try_emplace(target.id, Entry{target, leaseEnd});
    if (isNew) {
        index(target);
        tell(target);
        return Reception::Changed;
    }
    auto &entry = position->second;
    if (target.word < entry.target.word) {
        return Reception::Stale;
    }
    const bool changed = entry.target != target;
    if (entry.target.service != target.service) {
        std::erase(m_byService[entry.target.service], target.id);
        index(target);
    }
    entry = Entry{target, target.condition == Condition::Gone ? std::nullopt : leaseEnd};
    if (!changed) {
        return Reception::Renewed;
    }
    tell(target);
    return Reception::Changed;
}

void TargetTable::index(const Target &target)
{
    m_byService[target.service].push_back(target.id);
}

void TargetTable::tell(const Target &target) const
{
    if (m_onChange) {
        m_onChange(target);
    }
}

} // namespace pimentoshed::targets
