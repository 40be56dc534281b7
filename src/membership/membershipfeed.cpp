#include "membership/membershipfeed.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::membership
{

bool MembershipFeed::recordContact(const EntryHost &host, core::TimePoint now)
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
        noteHosts();
    }
    return changed;
}

bool MembershipFeed::updatePeerHosts(const core::HostId &source, const HostUpdate &news)
{
    const core::Lock lock(m_mutex);
    if (!apply(news, m_sources[source])) {
        return false;
    }
    noteHosts();
    return true;
}

void MembershipFeed::removePeer(const core::HostId &source)
{
    const core::Lock lock(m_mutex);
    if (m_sources.erase(source) > 0) {
        noteHosts();
    }
}

bool MembershipFeed::updateTarget(const targets::Target &target, UpdateSource teller)
{
    const core::Lock lock(m_mutex);
    const auto [position, isNew] = m_targets.try_emplace(target.id, TargetEntry{target, 0, teller});
    auto &entry = position->second;
    if (!isNew && (target.version < entry.target.version || target == entry.target)) {
        return false;
    }
    m_order.erase(entry.position);
    entry = {target, ++m_position, teller};
    if (teller == UpdateSource::Own) {
        m_peersPosition = m_position;
    }
    m_order.emplace(entry.position, target.id);
    return true;
}

bool MembershipFeed::removeSilentHosts(core::TimePoint before)
{
    const core::Lock lock(m_mutex);
    const auto count = std::erase_if(m_hosts, [before](const auto &entry) {
        return entry.second.heard < before;
    });
    if (count > 0) {
        noteHosts();
    }
    return count > 0;
}

FeedUpdate MembershipFeed::updateSince(std::uint64_t position, SubscriberKind audience) const
{
    const core::Lock lock(m_mutex);
    FeedUpdate news;
    news.position = m_position;
    for (auto entry = m_order.upper_bound(position); entry != m_order.end(); ++entry) {
        const auto &known = m_targets.at(entry->second);
        if (audience == SubscriberKind::EntryHosts || known.teller == UpdateSource::Own) {
            news.targets.push_back(known.target);
        }
    }
    news.hosts = (audience == SubscriberKind::Peers ? m_ownHosts : m_allHosts).updateSince(position);
    news.controlHostsChanged = m_controlHostsPosition > position;
    return news;
}

void MembershipFeed::noteControlHostsChanged()
{
    const core::Lock lock(m_mutex);
    m_controlHostsPosition = ++m_position;
}

std::uint64_t MembershipFeed::position(SubscriberKind audience) const
{
    const core::Lock lock(m_mutex);
    return audience == SubscriberKind::Peers ? m_peersPosition : m_position;
}

std::vector<EntryHost> MembershipFeed::hosts() const
{
    const core::Lock lock(m_mutex);
    return m_allHosts.hosts();
}

std::size_t MembershipFeed::targetCount() const
{
    const core::Lock lock(m_mutex);
    return m_targets.size();
}

void MembershipFeed::noteHosts()
{
    HostMap own;
    for (const auto &[id, entry] : m_hosts) {
        own.emplace(id, entry.host);
    }
    auto all = own;
    for (const auto &[source, hosts] : m_sources) {
        for (const auto &[id, host] : hosts) {
            const auto [position, isNew] = all.try_emplace(id, host);
            auto &known = position->second;
            // Of two records of one process, the one that says it stops is the later.
            if (!isNew && std::pair(known.incarnation, known.stopping) < std::pair(host.incarnation, host.stopping)) {
                known = host;
            }
        }
    }
    const bool ownChanged = m_ownHosts.become(own, m_position + 1);
    const bool allChanged = m_allHosts.become(all, m_position + 1);
    if (ownChanged) {
        m_peersPosition = m_position + 1;
    }
    if (ownChanged || allChanged) {
        ++m_position;
    }
}

std::size_t MembershipFeed::targetCount(targets::Condition condition) const
{
    const core::Lock lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [condition](const auto &entry) {
        return entry.second.target.condition == condition;
    }));
}

} // namespace pimentoshed::membership
