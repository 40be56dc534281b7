/**
 * @file
 * Compresses the operators' file for follow replies: once for all hosts that already have the same earlier version.
 */
#pragma once

#include "changes/ledger.h"
#include "core/rankedmutex.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace pimentoshed::control
{

/** A compressed file. Decompression needs the file of version @c baseVersion, unless that is 0. */
struct CompressedFile {
    std::string bytes;
    std::uint64_t baseVersion = 0;
};

/** Compresses files against the latest few versions, which it keeps. Thread-safe; lock rank Connections. */
class FileCompressor
{
public:
    using ConfigurationRef = std::shared_ptr<const changes::ActiveConfiguration>;

    /** Keeps the file of @p configuration as a base for later versions. */
    void addBase(const ConfigurationRef &configuration);

    /**
     * Compresses the file of @p configuration for a host that has the file of @p knownVersion. If that version is no
     * longer kept, the result needs no earlier version.
     */
    CompressedFile compress(const ConfigurationRef &configuration, std::uint64_t knownVersion);

private:
    /** addBase() with the mutex locked. Ignores versions that are not newer than the kept ones. */
    void addBaseWithLock(const ConfigurationRef &configuration);

    core::RankedMutex m_mutex{core::LockRank::Connections};
    /** One entry for each version, the newest last. */
    std::deque<ConfigurationRef> m_bases;
    /** Compressed files of the newest version, by the version that they are based on. */
    std::map<std::uint64_t, std::string> m_compressedNewest;
};

} // namespace pimentoshed::control
