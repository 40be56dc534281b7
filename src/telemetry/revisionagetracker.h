/**
 * @file
 * How long a host has had its revision.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"

#include <cstdint>

namespace pimentoshed::telemetry
{

/** The revision only rises. Thread-safe; rank Connections. */
class RevisionAgeTracker
{
public:
    /** Notes that @p revision is in force at @p now. */
    void record(std::uint64_t revision, core::TimePoint now)
    {
        const core::Lock lock(m_mutex);
        if (revision > m_revision) {
            m_revision = revision;
            m_since = now;
        }
    }

    /** Time since the newest revision was first noted; zero before there is one. */
    core::Duration age(core::TimePoint now) const
    {
        const core::Lock lock(m_mutex);
        return m_revision == 0 ? core::Duration{} : now - m_since;
    }

private:
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::uint64_t m_revision = 0;
    core::TimePoint m_since{};
};

} // namespace pimentoshed::telemetry
