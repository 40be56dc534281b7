/**
 * @file
 * The list of entry hosts and incremental updates of it.
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

/** The changes of the entry hosts since a position, or all entry hosts. */
struct HostUpdate {
    /** Whether @c hosts holds all entry hosts; it then replaces those known before. */
    bool isSnapshot = false;
    /** New and changed hosts, or all of them. */
    std::vector<EntryHost> hosts;
    /** Hosts that were removed. */
    std::vector<core::HostId> removed;

    /** Whether applying this update changes nothing. */
    bool empty() const;
};

/** Applies @p update to @p hosts. Returns whether that changed anything. */
bool apply(const HostUpdate &update, HostMap &hosts);

/**
 * The entry hosts, each with the position of its latest change, so that a follower can be sent only the changes since
 * its position. Keeps a bounded number of removed hosts. Not thread-safe.
 */
class VersionedHostTable
{
public:
    /** Replaces the hosts by @p hosts, as the change at @p position. Returns whether anything changed. */
    bool replaceAll(const HostMap &hosts, std::uint64_t position);

    /** Returns the changes after @p position, or all hosts if removals since then may have been dropped. */
    HostUpdate updateSince(std::uint64_t position) const;

    /** Returns the position of the latest change. */
    std::uint64_t position() const;

    std::vector<EntryHost> hosts() const;

private:
    struct Row {
        /** Empty if the host was removed. */
        std::optional<EntryHost> host;
        std::uint64_t position = 0;
    };

    /** Drops the oldest removed hosts if there are too many. */
    void dropOldestRemoved();

    std::map<core::HostId, Row> m_rows;
    std::uint64_t m_position = 0;
    /** A follower at an earlier position gets all hosts. */
    std::uint64_t m_firstIncrementalPosition = 1;
};

} // namespace pimentoshed::membership
