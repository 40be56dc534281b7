/**
 * @file
 * Which entry hosts there are, as changes that are passed on.
 */
#pragma once

#include "membership/hosts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pimentoshed::membership
{

using HostMap = std::map<core::HostId, EntryHost>;

/** What has changed of the entry hosts since a position. */
struct HostUpdate {
    /** Whether @c hosts are all that there are. */
    bool isSnapshot = false;
    /** The new ones and those that changed. */
    std::vector<EntryHost> hosts;
    std::vector<core::HostId> removed;

    bool empty() const;
};

/** Takes @p news into @p hosts. Whether that changed anything. */
bool apply(const HostUpdate &news, HostMap &hosts);

/** Numbers changes; remembers a bounded number of hosts that went. Not thread-safe. */
class VersionedHostTable
{
public:
    /** Takes the hosts that there now are, as the change @p position. Whether it is one. */
    bool become(const HostMap &hosts, std::uint64_t position);

    /** What came after @p position: everything where that is too long ago. */
    HostUpdate updateSince(std::uint64_t position) const;

    /** Of the latest change. */
    std::uint64_t position() const;

    std::vector<EntryHost> hosts() const;

private:
    struct Row {
        /** Nothing where it went. */
        std::optional<EntryHost> host;
        std::uint64_t position = 0;
    };

    void forgetOldest();

    std::map<core::HostId, Row> m_rows;
    std::uint64_t m_position = 0;
    /** Who has heard less is told everything. */
    std::uint64_t m_floor = 1;
};

} // namespace pimentoshed::membership
