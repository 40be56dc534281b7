/**
 * @file
 * Mutexes with ranks. A thread may only lock a rank above every rank it holds; docs/DESIGN.md lists the order.
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
    Requests = 70,
    Connections = 80,
    Timers = 90,
    Log = 100,
};

/** The name of @p rank, as in docs/DESIGN.md. */
std::string_view lockRankName(LockRank rank);

/** A mutex that, in checked builds, aborts the process when it is locked out of order. */
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
