#include "routing/coldratelimiter.h"

#include <utility>

namespace pimentoshed::routing
{

namespace
{

/** The share of a cold target's bound that its sender uses: see the class. */
constexpr double UsedShare = 0.75;
/** Targets whose next moment is kept; those whose moment has passed go first. */
constexpr std::size_t MostKept = 4096;

core::Duration spacing(const configuration::Service &service)
{
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(1 / (UsedShare * service.coldRequestsPerSecond)));
}

} // namespace

ColdRateLimiter::ColdRateLimiter(membership::Member self)
    : m_self(std::move(self))
{
}

void ColdRateLimiter::setHosts(membership::OwnershipView hosts, core::TimePoint end)
{
    const core::Lock lock(m_mutex);
    m_hosts = std::move(hosts);
    m_end = end;
}

bool ColdRateLimiter::canSend(const targets::Target &target, const configuration::Service &, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (!owns(target, now)) {
        return false;
    }
    const auto found = m_next.find(target.id);
    return found == m_next.end() || now >= found->second;
}

void ColdRateLimiter::recordSent(const targets::Target &target,
                                 const configuration::Service &service,
                                 core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (m_next.size() >= MostKept) {
        std::erase_if(m_next, [now](const auto &entry) {
            return entry.second <= now;
        });
    }
    m_next.insert_or_assign(target.id, now + spacing(service));
}

bool ColdRateLimiter::owns(const targets::Target &target, core::TimePoint now) const
{
    const auto *owner = now < m_end ? membership::ownerOf(m_hosts, target.id, target.domain) : nullptr;
    return owner != nullptr && *owner == m_self;
}

} // namespace pimentoshed::routing
