/**
 * @file
 * The rollouts that an entry host acts on, and what it counts for those in progress.
 */
#pragma once

#include "core/rankedmutex.h"
#include "rollouts/counttable.h"
#include "rollouts/versionshare.h"

#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::rollouts
{

/** The end of an attempt of a request at a target. */
struct AttemptResult {
    core::ServiceName service;
    core::RouteName route;
    std::string softwareVersion;
    bool failed = false;
    /** Nothing if it says nothing about the version, as that of a cold target. */
    std::optional<core::Duration> processingTime;
};

/** Thread-safe; lock rank Connections. */
class ActiveRollouts
{
public:
    ActiveRollouts(core::HostId self, std::uint64_t incarnation);

    /** Takes over the rollouts of an active configuration. Counts of rollouts that have ended are dropped. */
    void follow(const std::map<core::ServiceName, Rollout> &rollouts);

    /** Sets until when the rollouts count as current. From then on a new version that isn't in force gets nothing. */
    void setCurrentUntil(core::TimePoint end);

    /** Returns the division of the requests of @p service; nothing if it has had no rollout. */
    std::optional<VersionShare> shareOf(const core::ServiceName &service, core::TimePoint now) const;

    /** Counts @p result if its service has a rollout in progress. */
    void record(const AttemptResult &result);

    /** Whether a rollout is in progress. */
    bool isCounting() const;

    /** Returns the totals since the start of each rollout in progress. */
    std::vector<HostCounts> totals() const;

private:
    struct Entry {
        Rollout rollout;
        RouteCounts counts;
    };

    const core::HostId m_self;
    const std::uint64_t m_incarnation;
    /** Read without the mutex, as most hosts have no rollouts at most times. */
    std::atomic<bool> m_hasRollouts{false};
    std::atomic<bool> m_isCounting{false};
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    core::TimePoint m_currentUntil{};
    std::map<core::ServiceName, Entry> m_entries;
};

} // namespace pimentoshed::rollouts
