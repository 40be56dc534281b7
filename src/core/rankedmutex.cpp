#include "core/rankedmutex.h"

#include "core/enumtable.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace pimentoshed::core
{

namespace
{

constexpr std::array RankNames{
    EnumName<LockRank>{LockRank::Replica, "replica"},
    EnumName<LockRank>{LockRank::Configuration, "configuration"},
    EnumName<LockRank>{LockRank::Membership, "membership"},
    EnumName<LockRank>{LockRank::Targets, "targets"},
    EnumName<LockRank>{LockRank::Routing, "routing"},
    EnumName<LockRank>{LockRank::ColdTargets, "cold-targets"},
    EnumName<LockRank>{LockRank::Admission, "admission"},
    EnumName<LockRank>{LockRank::Quotas, "quotas"},
    EnumName<LockRank>{LockRank::Requests, "requests"},
    EnumName<LockRank>{LockRank::Connections, "connections"},
    EnumName<LockRank>{LockRank::Timers, "timers"},
    EnumName<LockRank>{LockRank::Log, "log"},
};

#ifdef PIMENTOSHED_CHECK_LOCK_ORDER

std::vector<LockRank> &heldRanks()
{
    thread_local std::vector<LockRank> held;
    return held;
}

void checkOrder(LockRank rank)
{
    const auto &held = heldRanks();
    const auto highest = std::max_element(held.begin(), held.end());
    if (highest == held.end() || *highest < rank) {
        return;
    }
    std::fprintf(
        stderr, "lock order: %s locked while %s is held\n", lockRankName(rank).data(), lockRankName(*highest).data());
    std::abort();
}

void recordLocked(LockRank rank)
{
    heldRanks().push_back(rank);
}

void recordUnlocked(LockRank rank)
{
    auto &held = heldRanks();
    held.erase(std::find(held.begin(), held.end(), rank));
}

#else

void checkOrder(LockRank)
{
}

void recordLocked(LockRank)
{
}

void recordUnlocked(LockRank)
{
}

#endif

} // namespace

std::string_view lockRankName(LockRank rank)
{
    return nameOf(RankNames, rank);
}

RankedMutex::RankedMutex(LockRank rank)
    : m_rank(rank)
{
}

void RankedMutex::lock()
{
    checkOrder(m_rank);
    m_mutex.lock();
    recordLocked(m_rank);
}

void RankedMutex::unlock()
{
    recordUnlocked(m_rank);
    m_mutex.unlock();
}

} // namespace pimentoshed::core
