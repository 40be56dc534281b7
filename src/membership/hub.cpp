#include "membership/hub.h"

#include <algorithm>
#include <utility>

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
        noteHostsChanged(Teller::Own);
    }
    return changed;
}

bool Hub::hearFrom(const core::HostId &source, const std::vector<EntryHost> &hosts)
{
    const core::Lock lock(m_mutex);
    auto &known = m_sources[source];
    if (known == hosts) {
        return false;
    }
    known = hosts;
    noteHostsChanged(Teller::Peer);
    return true;
}

void Hub::forgetSource(const core::HostId &source)
{
    const core::Lock lock(m_mutex);
    if (m_sources.erase(source) > 0) {
        noteHostsChanged(Teller::Peer);
    }
}

bool Hub::learn(const targets::Target &target, Teller teller)
{
    const core::Lock lock(m_mutex);
    const auto [position, isNew] = m_targets.try_emplace(target.id, TargetEntry{target, 0, teller});
    auto &entry = position->second;
    if (!isNew && (target.word < entry.target.word || target == entry.target)) {
        return false;
    }
    m_order.erase(entry.position);
    entry = {target, ++m_position, teller};
    if (teller == Teller::Own) {
        m_peersPosition = m_position;
    }
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
        noteHostsChanged(Teller::Own);
    }
    return count > 0;
}

FeedNews Hub::newsSince(std::uint64_t position, Audience audience) const
{
    const core::Lock lock(m_mutex);
    FeedNews news;
    news.position = m_position;
    for (auto entry = m_order.upper_bound(position); entry != m_order.end(); ++entry) {
        const auto &known = m_targets.at(entry->second);
        if (audience == Audience::EntryHosts || known.teller == Teller::Own) {
            news.targets.push_back(known.target);
        }
    }
    news.hostsChanged = (audience == Audience::Peers ? m_ownHostsPosition : m_hostsPosition) > position;
    if (news.hostsChanged) {
        news.hosts = knownTo(audience);
    }
    return news;
}

void Hub::touchHosts()
{
    const core::Lock lock(m_mutex);
    noteHostsChanged(Teller::Peer);
}

std::uint64_t Hub::position(Audience audience) const
{
    const core::Lock lock(m_mutex);
    return audience == Audience::Peers ? m_peersPosition : m_position;
}

std::vector<EntryHost> Hub::hosts() const
{
    const core::Lock lock(m_mutex);
    return knownTo(Audience::EntryHosts);
}

std::size_t Hub::targetCount() const
{
    const core::Lock lock(m_mutex);
    return m_targets.size();
}

std::vector<EntryHost> Hub::knownTo(Audience audience) const
{
    std::map<core::HostId, EntryHost> newest;
    const auto take = [&newest](const EntryHost &host) {
        const auto [position, isNew] = newest.try_emplace(host.id, host);
        auto &known = position->second;
        // Of two records of one process, the one that says it stops is the later.
        if (!isNew && std::pair(known.incarnation, known.stopping) < std::pair(host.incarnation, host.stopping)) {
            known = host;
        }
    };
    for (const auto &[id, entry] : m_hosts) {
        take(entry.host);
    }
    if (audience == Audience::EntryHosts) {
        for (const auto &[source, hosts] : m_sources) {
            std::for_each(hosts.begin(), hosts.end(), take);
        }
    }
    std::vector<EntryHost> found;
    found.reserve(newest.size());
    for (const auto &[id, host] : newest) {
        found.push_back(host);
    }
    return found;
}

void Hub::noteHostsChanged(Teller teller)
{
    m_hostsPosition = ++m_position;
    if (teller == Teller::Own) {
        m_ownHostsPosition = m_position;
        m_peersPosition = m_position;
    }
}

std::size_t Hub::targetCount(targets::Condition condition) const
{
    const core::Lock lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [condition](const auto &entry) {
        return entry.second.target.condition == condition;
    }));
}

} // namespace pimentoshed::membership
