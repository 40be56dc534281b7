/**
 * @file
 * Mutexes with ranks, which prevent deadlocks: a thread may lock a mutex only if its rank is higher than the rank of
 * every mutex that the thread holds. docs/DESIGN.md lists the order.
 */
#pragma once

#include <cstdint>
#include <mutex>
#include <string_view>

namespace pimentoshed::core
{

/** The lock order: lower ranks are locked first. */
enum class LockRank : std::uint8_t {
    Replica = 10,
    Configuration = 20,
    Membership = 30,
    Targets = 40,
    Routing = 50,
    ColdTargets = 55,
    Admission = 60,
    Quotas = 65,
    Requests = 70,
    Connections = 80,
    Timers = 90,
    Log = 100,
};

/** Returns the name of @p rank, as in docs/DESIGN.md. */
std::string_view lockRankName(LockRank rank);

/** A mutex that aborts the process when it is locked out of order, if built with PIMENTOSHED_CHECK_LOCK_ORDER. */
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);
    RankedMutex(const RankedMutex &) = delete;
    RankedMutex &operator=(const RankedMutex &) = delete;

    void lock();
    void unlock();

private:
    const LockRank m_rank;
    std::mutex m_mutex;
};

using Lock = std::unique_lock<RankedMutex>;

} // namespace pimentoshed::core
