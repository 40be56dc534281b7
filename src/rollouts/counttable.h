/**
 * @file
 * The counts that entry hosts have reported about rollouts.
 */
#pragma once

#include "rollouts/counts.h"
#include "rollouts/rollout.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pimentoshed::rollouts
{

/** What one process of an entry host has counted since the start of a rollout. */
struct HostCounts {
    core::HostId host;
    /** Distinguishes the processes of a host. */
    std::uint64_t incarnation = 0;
    core::ServiceName service;
    /** The number of the rollout. */
    std::uint64_t number = 0;
    core::RouteName route;
    ComparedCounts counts;

    bool operator==(const HostCounts &) const = default;
};

/**
 * Keeps the latest totals of each process, so that a report may be lost, repeated or overtaken. Counts of a process
 * that has ended stay. Not thread-safe.
 */
class CountTable
{
public:
    /** Ignored if the process has reported as much before, or a newer rollout of the service is known. */
    void record(const HostCounts &reported);

    /** Returns the sums over all processes for rollout @p number of @p service. */
    RouteCounts sum(const core::ServiceName &service, std::uint64_t number) const;

    /** Drops the counts of all services but those in @p running. */
    void keepOnly(const std::map<core::ServiceName, std::uint64_t> &running);

private:
    using Key = std::tuple<core::HostId, std::uint64_t, core::RouteName>;
    struct ServiceTable {
        std::uint64_t number = 0;
        std::map<Key, ComparedCounts> rows;
    };

    std::map<core::ServiceName, ServiceTable> m_services;
};

} // namespace pimentoshed::rollouts
