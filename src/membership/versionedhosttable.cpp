#include "membership/versionedhosttable.h"

#include <algorithm>

namespace pimentoshed::membership
{

namespace
{

/** Hosts that went which are remembered, so that followers hear of them: more than go in a second. */
constexpr std::size_t MostGone = 256;

} // namespace

bool HostUpdate::empty() const
{
    return !isSnapshot && hosts.empty() && removed.empty();
}

bool apply(const HostUpdate &news, HostMap &hosts)
{
    if (news.empty()) {
        return false;
    }
    auto changed = hosts;
    if (news.isSnapshot) {
        changed.clear();
    }
    for (const auto &host : news.hosts) {
        changed.insert_or_assign(host.id, host);
    }
    for (const auto &id : news.removed) {
        changed.erase(id);
    }
    const bool differs = changed != hosts;
    hosts = std::move(changed);
    return differs;
}

bool VersionedHostTable::become(const HostMap &hosts, std::uint64_t position)
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
        forgetOldest();
    }
    return changed;
}

HostUpdate VersionedHostTable::updateSince(std::uint64_t position) const
{
    HostUpdate news;
    news.isSnapshot = position < m_floor && m_position > 0;
    for (const auto &[id, row] : m_rows) {
        if (row.host && (news.isSnapshot || row.position > position)) {
            news.hosts.push_back(*row.host);
        } else if (!row.host && !news.isSnapshot && row.position > position) {
            news.removed.push_back(id);
        }
    }
    return news;
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

void VersionedHostTable::forgetOldest()
{
    std::vector<std::uint64_t> gone;
    for (const auto &[id, row] : m_rows) {
        if (!row.host) {
            gone.push_back(row.position);
        }
    }
    if (gone.size() <= MostGone) {
        return;
    }
    // Half of them at a time.
    std::nth_element(gone.begin(), gone.begin() + MostGone / 2, gone.end());
    m_floor = gone[MostGone / 2] + 1;
    std::erase_if(m_rows, [this](const auto &entry) {
        return !entry.second.host && entry.second.position < m_floor;
    });
}

} // namespace pimentoshed::membership
