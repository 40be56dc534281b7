/**
 * @file
 * Time since the newest revision of the configuration came into force at a host.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"

#include <cstdint>

namespace pimentoshed::telemetry
{

/** Remembers the highest revision and when it came into force. Thread-safe; rank Connections. */
class RevisionAgeTracker
{
public:
    /** Records that @p revision is in force at @p now. Does nothing unless it is higher than all recorded before. */
    void record(std::uint64_t revision, core::TimePoint now)
    {
        const core::Lock lock(m_mutex);
        if (revision > m_revision) {
            m_revision = revision;
            m_since = now;
        }
    }

    /** Returns the time since the highest revision was first recorded; zero if none was. */
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
