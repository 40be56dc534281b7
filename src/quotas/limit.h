/**
 * @file
 * How many requests of a workspace the entry hosts may send, and how the tolerance of a quota is divided.
 */
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <chrono>
#include <vector>

namespace pimentoshed::quotas
{

/**
 * A quota is kept if in each Window at most (rate * Window + burst) * (1 + Excess) + Slack requests are sent by all
 * hosts together. The figures are the users'.
 */
inline constexpr core::Duration Window = std::chrono::seconds(5);
inline constexpr double Excess = 0.1;
inline constexpr double Slack = 20;

/** How long a lease can be used while little of the room is leased, and while much of it is. */
inline constexpr core::Duration LongLifetime = std::chrono::milliseconds(600);
inline constexpr core::Duration ShortLifetime = std::chrono::milliseconds(250);
/** The clocks of two hosts run at rates that differ by less than this factor. */
inline constexpr double ClockMargin = 1.1;
/** A request that a host took from its part of the reserve counts against that part for this long. */
inline constexpr core::Duration ReservePeriod = std::chrono::seconds(6);

/** The quota of one workspace. */
struct Limit {
    /** Requests per second; above 0. */
    double rate = 0;
    double burst = 0;

    bool operator==(const Limit &) const = default;
};

/** What may be sent in one Window beyond rate * Window + burst. */
double tolerance(const Limit &limit);

/** The most requests that may be unused, at the leader and in leases, at the same time. */
double room(const Limit &limit);

/** The most requests that may be unused at the leader. What lies unused in leases is thereby made up for. */
double bucketDepth(const Limit &limit);

/** Requests per ReservePeriod that all hosts together send without a lease. The leader does not grant them. */
unsigned reserve(const Limit &limit);

/**
 * The part of @p host of the reserve of @p workspace: whole requests, of which the first of @p hosts in the order of
 * the rendezvous weights get one more. The parts add up to the reserve as long as the hosts know the same hosts.
 */
unsigned reservePart(const Limit &limit,
                     const core::WorkspaceName &workspace,
                     const std::vector<core::HostId> &hosts,
                     const core::HostId &host);

} // namespace pimentoshed::quotas
