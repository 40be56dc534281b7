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
        rebuildHosts();
    }
    return changed;
}

bool MembershipFeed::updatePeerHosts(const core::HostId &source, const HostUpdate &update)
{
    const core::Lock lock(m_mutex);
    if (!apply(update, m_peerHosts[source])) {
        return false;
    }
    rebuildHosts();
    return true;
}

void MembershipFeed::removePeer(const core::HostId &source)
{
    const core::Lock lock(m_mutex);
    if (m_peerHosts.erase(source) > 0) {
        rebuildHosts();
    }
}

bool MembershipFeed::updateTarget(const targets::Target &target, UpdateSource source)
{
    const core::Lock lock(m_mutex);
    const auto [position, isNew] = m_targets.try_emplace(target.id, TargetEntry{target, 0, source});
    auto &entry = position->second;
    // A record that peers sent before becomes this host's own: the peer that had it may have restarted without it.
    const bool isNowOwn = source == UpdateSource::Own && entry.source == UpdateSource::Peer;
    if (!isNew && (target.version < entry.target.version || (target == entry.target && !isNowOwn))) {
        return false;
    }
    m_targetsByPosition.erase(entry.position);
    entry = {target, ++m_position, source};
    if (source == UpdateSource::Own) {
        m_peersPosition = m_position;
    }
    m_targetsByPosition.emplace(entry.position, target.id);
    return true;
}

bool MembershipFeed::removeSilentHosts(core::TimePoint before)
{
    const core::Lock lock(m_mutex);
    const auto count = std::erase_if(m_hosts, [before](const auto &entry) {
        return entry.second.lastContact < before;
    });
    if (count > 0) {
        rebuildHosts();
    }
    return count > 0;
}

FeedUpdate MembershipFeed::updateSince(std::uint64_t position, SubscriberKind subscriber) const
{
    const core::Lock lock(m_mutex);
    FeedUpdate update;
    update.position = m_position;
    for (auto entry = m_targetsByPosition.upper_bound(position); entry != m_targetsByPosition.end(); ++entry) {
        const auto &known = m_targets.at(entry->second);
        if (subscriber == SubscriberKind::EntryHosts || known.source == UpdateSource::Own || position == 0) {
            update.targets.push_back(known.target);
        }
    }
    update.hosts = (subscriber == SubscriberKind::Peers ? m_ownHosts : m_allHosts).updateSince(position);
    update.controlHostsChanged = m_controlHostsPosition > position;
    return update;
}

void MembershipFeed::noteControlHostsChanged()
{
    const core::Lock lock(m_mutex);
    m_controlHostsPosition = ++m_position;
}

std::uint64_t MembershipFeed::position(SubscriberKind subscriber) const
{
    const core::Lock lock(m_mutex);
    return subscriber == SubscriberKind::Peers ? m_peersPosition : m_position;
}

std::vector<EntryHost> MembershipFeed::hosts() const
{
    const core::Lock lock(m_mutex);
    return m_allHosts.hosts();
}

std::vector<targets::Target> MembershipFeed::targets() const
{
    const core::Lock lock(m_mutex);
    std::vector<targets::Target> targets;
    targets.reserve(m_targets.size());
    for (const auto &[id, entry] : m_targets) {
        targets.push_back(entry.target);
    }
    return targets;
}

std::size_t MembershipFeed::targetCount() const
{
    const core::Lock lock(m_mutex);
    return m_targets.size();
}

void MembershipFeed::rebuildHosts()
{
    HostMap own;
    for (const auto &[id, entry] : m_hosts) {
        own.emplace(id, entry.host);
    }
    auto all = own;
    for (const auto &[source, hosts] : m_peerHosts) {
        for (const auto &[id, host] : hosts) {
            const auto [position, isNew] = all.try_emplace(id, host);
            auto &known = position->second;
            // Of two records of one process, the one that is stopping is newer, because a process never leaves that
            // state.
            if (!isNew && std::pair(known.incarnation, known.stopping) < std::pair(host.incarnation, host.stopping)) {
                known = host;
            }
        }
    }
    const bool ownChanged = m_ownHosts.replaceAll(own, m_position + 1);
    const bool allChanged = m_allHosts.replaceAll(all, m_position + 1);
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
