#include "membership/targetknowledge.h"

#include <algorithm>

namespace pimentoshed::membership
{

namespace
{

/** Age of the changes known of a peer that is in contact, at most: two long polls of a second, and their way. */
constexpr core::Duration MaxContactAge = std::chrono::milliseconds(2800);

} // namespace

void TargetKnowledge::start(core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    m_start = now;
}

void TargetKnowledge::setPeers(const std::vector<core::HostId> &peers, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    std::map<core::HostId, Peer> updated;
    for (const auto &peer : peers) {
        const auto found = m_peers.find(peer);
        updated.emplace(peer, found == m_peers.end() ? Peer{false, now} : found->second);
    }
    m_peers = std::move(updated);
}

void TargetKnowledge::recordUpdate(const core::HostId &peer, const PeerUpdate &update)
{
    const core::Lock lock(m_mutex);
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    found->second = {true, update.callTime};
    m_hasCompleteUpdate = m_hasCompleteUpdate || (update.containsAllTargets && update.isPeerComplete);
}

bool TargetKnowledge::isComplete(core::TimePoint now, core::Duration lease) const
{
    const core::Lock lock(m_mutex);
    return m_hasCompleteUpdate || now - m_start >= lease;
}

bool TargetKnowledge::isCurrent(core::TimePoint now, core::Duration lease) const
{
    if (!isComplete(now, lease)) {
        return false;
    }
    const core::Lock lock(m_mutex);
    return std::all_of(m_peers.begin(), m_peers.end(), [now, lease](const auto &entry) {
        const auto &peer = entry.second;
        const auto age = now - peer.knownUntil;
        return (peer.hasReplied && age <= MaxContactAge) || age >= lease;
    });
}

} // namespace pimentoshed::membership
