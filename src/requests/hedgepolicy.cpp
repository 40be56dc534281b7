#include "requests/hedgepolicy.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::requests
{

namespace
{

/**
 * Share of used slots from which on a service is short of room, and up to which it must fall before hedges go on. A
 * target below half of its slots counts as idle for the router; the gap keeps the hedges' own load from deciding.
 */
constexpr double ShortUsedShare = 0.6;
constexpr double RoomyUsedShare = 0.45;
/** For how long a service stays short of room after a target had none: the lifetime of some load reports. */
constexpr core::Duration ShortAfterShed = std::chrono::seconds(1);

} // namespace

HedgePolicy::HedgePolicy(RetryBudgets &budgets, ServiceUseHook use)
    : m_budgets(budgets)
    , m_use(std::move(use))
{
}

void HedgePolicy::configure(const configuration::Configuration &configuration)
{
    const core::Lock lock(m_mutex);
    std::erase_if(m_responseTimes, [&configuration](const auto &row) {
        return std::none_of(configuration.routes.begin(), configuration.routes.end(), [&row](const auto &route) {
            return route.name == row.first;
        });
    });
    std::erase_if(m_rooms, [&configuration](const auto &row) {
        return configuration::findService(configuration, row.first) == nullptr;
    });
}

std::optional<core::Duration> HedgePolicy::delay(const HedgeCandidate &candidate, core::TimePoint now) const
{
    if (candidate.service.hedgeRatio <= 0 || !candidate.idempotent
        || candidate.attempts >= candidate.route.maxAttempts) {
        return std::nullopt;
    }
    const core::Lock lock(m_mutex);
    const auto found = m_responseTimes.find(candidate.route.name);
    const auto usualMaximum = found == m_responseTimes.end() ? std::nullopt : found->second.usualMaximum(now);
    return usualMaximum && candidate.timeLeft >= 2 * *usualMaximum ? usualMaximum : std::nullopt;
}

bool HedgePolicy::spend(const HedgeCandidate &candidate, core::TimePoint now)
{
    const bool isAllowed = candidate.idempotent && candidate.attempts < candidate.route.maxAttempts
                           && candidate.timeLeft > core::Duration{};
    return isAllowed && hasRoom(candidate.service.name, now) && m_budgets.spendOnHedge(candidate.service);
}

void HedgePolicy::giveBack(const configuration::Service &service)
{
    m_budgets.giveBackHedge(service);
}

void HedgePolicy::record(const configuration::Route &route, core::Duration duration, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    m_responseTimes[route.name].record(duration, now);
}

void HedgePolicy::recordShed(const core::ServiceName &service, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    auto &room = m_rooms[service];
    room.isShort = true;
    room.shedAt = now;
}

bool HedgePolicy::hasRoom(const core::ServiceName &service, core::TimePoint now)
{
    const auto use = m_use(service);
    const core::Lock lock(m_mutex);
    auto &room = m_rooms[service];
    const bool wasShedLately = room.shedAt != core::TimePoint{} && now - room.shedAt < ShortAfterShed;
    if (use.waiting > 0 || wasShedLately || use.usedShare >= ShortUsedShare) {
        room.isShort = true;
    } else if (use.usedShare <= RoomyUsedShare) {
        room.isShort = false;
    }
    return !room.isShort;
}

} // namespace pimentoshed::requests
