#include "membership/hub.h"

#include <algorithm>

namespace pimentoshed::membership
{

bool Hub::hear(const EntryHost &host, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    const auto [position, isNew] = m_hosts.try_emplace(host.id, HostEntry{host, now});
    auto &entry = position->second;
    if (!isNew && host.incarnation < entry.host.incarnation) {
        return false;
    }
    const bool changed = isNew || entry.host != host;
    entry = {host, now};
    if (changed) {
        m_hostsPosition = ++m_position;
    }
    return changed;
}

bool Hub::learn(const targets::Target &target)
{
    const core::Lock lock(m_mutex);
    const auto [position, isNew] = m_targets.try_emplace(target.id, TargetEntry{target, 0});
    auto &entry = position->second;
    if (!isNew && (target.word < entry.target.word || target == entry.target)) {
        return false;
    }
    m_order.erase(entry.position);
    entry = {target, ++m_position};
    m_order.emplace(entry.position, target.id);
    return true;
}

bool Hub::forgetSilent(core::TimePoint before)
{
    const core::Lock lock(m_mutex);
    const auto count = std::erase_if(m_hosts, [before](const auto &entry) {
        return entry.second.heard < before;
    });
    if (count > 0) {
        m_hostsPosition = ++m_position;
    }
    return count > 0;
}

FeedNews Hub::newsSince(std::uint64_t position) const
{
    const core::Lock lock(m_mutex);
    FeedNews news;
    news.position = m_position;
    for (auto entry = m_order.upper_bound(position); entry != m_order.end(); ++entry) {
        news.targets.push_back(m_targets.at(entry->second).target);
    }
    news.hostsChanged = m_hostsPosition > position;
    if (news.hostsChanged) {
        for (const auto &[id, entry] : m_hosts) {
            news.hosts.push_back(entry.host);
        }
    }
    return news;
}

std::uint64_t Hub::position() const
{
    const core::Lock lock(m_mutex);
    return m_position;
}

std::vector<EntryHost> Hub::hosts() const
{
    const core::Lock lock(m_mutex);
    std::vector<EntryHost> found;
    for (const auto &[id, entry] : m_hosts) {
        found.push_back(entry.host);
    }
    return found;
}

std::size_t Hub::targetCount() const
{
    const core::Lock lock(m_mutex);
    return m_targets.size();
}

std::size_t Hub::targetCount(targets::Condition condition) const
{
    const core::Lock lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [condition](const auto &entry) {
        return entry.second.target.condition == condition;
    }));
}

} // namespace pimentoshed::membership
