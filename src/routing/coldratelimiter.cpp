#include "routing/coldratelimiter.h"

#include <utility>

namespace pimentoshed::routing
{

namespace
{

/** The fraction of a cold target's rate limit that its owner uses, see ColdRateLimiter. */
constexpr double UsedFraction = 0.75;
/** Above this number of targets, entries whose time has passed are erased. */
constexpr std::size_t MaxEntries = 4096;

core::Duration spacing(const configuration::Service &service)
{
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(1 / (UsedFraction * service.coldRequestsPerSecond)));
}

} // namespace

ColdRateLimiter::ColdRateLimiter(membership::Member self)
    : m_self(std::move(self))
{
}

void ColdRateLimiter::setHosts(membership::OwnershipView hosts, core::TimePoint currentUntil)
{
    const core::Lock lock(m_mutex);
    m_hosts = std::move(hosts);
    m_currentUntil = currentUntil;
}

bool ColdRateLimiter::canSend(const targets::Target &target, const configuration::Service &, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (!owns(target, now)) {
        return false;
    }
    const auto found = m_nextSend.find(target.id);
    return found == m_nextSend.end() || now >= found->second;
}

void ColdRateLimiter::recordSent(const targets::Target &target,
                                 const configuration::Service &service,
                                 core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (m_nextSend.size() >= MaxEntries) {
        std::erase_if(m_nextSend, [now](const auto &entry) {
            return entry.second <= now;
        });
    }
    m_nextSend.insert_or_assign(target.id, now + spacing(service));
}

bool ColdRateLimiter::owns(const targets::Target &target, core::TimePoint now) const
{
    const auto *owner = now < m_currentUntil ? membership::ownerOf(m_hosts, target.id, target.domain) : nullptr;
    return owner != nullptr && *owner == m_self;
}

} // namespace pimentoshed::routing
