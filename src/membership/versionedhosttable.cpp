#include "membership/versionedhosttable.h"

#include <algorithm>

namespace pimentoshed::membership
{

namespace
{

/** Removed hosts that are kept so that followers get their removal: more than are removed within one second. */
constexpr std::size_t MaxRemovedHosts = 256;

} // namespace

bool HostUpdate::empty() const
{
    return !isSnapshot && hosts.empty() && removed.empty();
}

bool apply(const HostUpdate &update, HostMap &hosts)
{
    if (update.empty()) {
        return false;
    }
    auto changed = hosts;
    if (update.isSnapshot) {
        changed.clear();
    }
    for (const auto &host : update.hosts) {
        changed.insert_or_assign(host.id, host);
    }
    for (const auto &id : update.removed) {
        changed.erase(id);
    }
    const bool differs = changed != hosts;
    hosts = std::move(changed);
    return differs;
}

bool VersionedHostTable::replaceAll(const HostMap &hosts, std::uint64_t position)
{
    bool changed = false;
    for (const auto &[id, host] : hosts) {
        auto &row = m_rows[id];
        if (row.host != host) {
            row = {host, position};
            changed = true;
        }
    }
    for (auto &[id, row] : m_rows) {
        if (row.host && hosts.count(id) == 0) {
            row = {std::nullopt, position};
            changed = true;
        }
    }
    if (changed) {
        m_position = position;
        dropOldestRemoved();
    }
    return changed;
}

HostUpdate VersionedHostTable::updateSince(std::uint64_t position) const
{
    HostUpdate update;
    update.isSnapshot = position < m_firstIncrementalPosition && m_position > 0;
    for (const auto &[id, row] : m_rows) {
        if (row.host && (update.isSnapshot || row.position > position)) {
            update.hosts.push_back(*row.host);
        } else if (!row.host && !update.isSnapshot && row.position > position) {
            update.removed.push_back(id);
        }
    }
    return update;
}

std::uint64_t VersionedHostTable::position() const
{
    return m_position;
}

std::vector<EntryHost> VersionedHostTable::hosts() const
{
    std::vector<EntryHost> found;
    found.reserve(m_rows.size());
    for (const auto &[id, row] : m_rows) {
        if (row.host) {
            found.push_back(*row.host);
        }
    }
    return found;
}

void VersionedHostTable::dropOldestRemoved()
{
    std::vector<std::uint64_t> removedPositions;
    for (const auto &[id, row] : m_rows) {
        if (!row.host) {
            removedPositions.push_back(row.position);
        }
    }
    if (removedPositions.size() <= MaxRemovedHosts) {
        return;
    }
    // Drops half of them at a time.
    std::nth_element(removedPositions.begin(), removedPositions.begin() + MaxRemovedHosts / 2, removedPositions.end());
    m_firstIncrementalPosition = removedPositions[MaxRemovedHosts / 2] + 1;
    std::erase_if(m_rows, [this](const auto &entry) {
        return !entry.second.host && entry.second.position < m_firstIncrementalPosition;
    });
}

} // namespace pimentoshed::membership
