/**
 * @file
 * Packs the operators' file for hosts that follow, each version once for all that lean on the same earlier one.
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

/** A packed file and the version that it leans on, which is 0 for none. */
struct PackedFile {
    std::string bytes;
    std::uint64_t basis = 0;
};

/** Keeps the latest few versions to lean on. Thread-safe; rank Connections. */
class FilePacker
{
public:
    using StandingRef = std::shared_ptr<const changes::ActiveConfiguration>;

    /** Keeps the file of @p standing to lean on. */
    void note(const StandingRef &standing);

    /** The file of @p standing for a host that has that of @p knownVersion. */
    PackedFile pack(const StandingRef &standing, std::uint64_t knownVersion);

private:
    void keep(const StandingRef &standing);

    core::RankedMutex m_mutex{core::LockRank::Connections};
    /** One for each version, the newest last. */
    std::deque<StandingRef> m_kept;
    /** Of the newest version, by the version that they lean on. */
    std::map<std::uint64_t, std::string> m_packed;
};

} // namespace pimentoshed::control
