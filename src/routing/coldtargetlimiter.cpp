#include "routing/coldtargetlimiter.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::routing
{

namespace
{

/** The fraction of a cold target's rate limit that its owner uses, see ColdTargetLimiter. */
constexpr double UsedFraction = 0.75;
/** Above this number of targets, entries whose time has passed are erased. */
constexpr std::size_t MaxEntries = 4096;

core::Duration spacing(const configuration::Service &service)
{
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(1 / (UsedFraction * service.coldRequestsPerSecond)));
}

} // namespace

ColdTargetLimiter::ColdTargetLimiter(membership::Member self)
    : m_self(std::move(self))
{
}

void ColdTargetLimiter::setHosts(std::vector<membership::Member> hosts, core::TimePoint now, const HostListTimes &times)
{
    const core::Lock lock(m_mutex);
    std::erase_if(m_oldLists, [now](const OldList &old) {
        return old.handoverEnd <= now;
    });
    if (now >= m_currentUntil) {
        m_oldLists.push_back({{}, now + times.handover});
    } else if (hosts != m_hosts) {
        m_oldLists.push_back({std::move(m_hosts), now + times.handover});
    }
    m_hosts = std::move(hosts);
    m_currentUntil = times.currentUntil;
}

bool ColdTargetLimiter::canSend(const targets::Target &target,
                                const configuration::Service &service,
                                core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (now >= m_currentUntil || !isOwnedBySelf(m_hosts, target)) {
        return false;
    }
    if (service.coldRequestsPerSecond > 0) {
        const auto found = m_nextSend.find(target.id);
        return found == m_nextSend.end() || now >= found->second;
    }
    return std::all_of(m_oldLists.begin(), m_oldLists.end(), [&](const OldList &old) {
        return old.handoverEnd <= now || isOwnedBySelf(old.hosts, target);
    });
}

void ColdTargetLimiter::recordSent(const targets::Target &target,
                                   const configuration::Service &service,
                                   core::TimePoint now)
{
    if (service.coldRequestsPerSecond <= 0) {
        return;
    }
    const core::Lock lock(m_mutex);
    if (m_nextSend.size() >= MaxEntries) {
        std::erase_if(m_nextSend, [now](const auto &entry) {
            return entry.second <= now;
        });
    }
    m_nextSend.insert_or_assign(target.id, now + spacing(service));
}

bool ColdTargetLimiter::isOwnedBySelf(const std::vector<membership::Member> &hosts, const targets::Target &target) const
{
    const auto *owner = membership::ownerOf(hosts, target.id, target.domain);
    return owner != nullptr && *owner == m_self;
}

} // namespace pimentoshed::routing
