#include "entry/clusterview.h"

#include <utility>

namespace pimentoshed::entry
{

bool ClusterView::adopt(changes::ActiveConfiguration standing)
{
    const core::Lock lock(m_mutex);
    if (m_standing && standing.revision <= m_standing->revision) {
        return false;
    }
    m_standing = std::make_shared<const changes::ActiveConfiguration>(std::move(standing));
    return true;
}

void ClusterView::confirm(std::uint64_t revision, core::TimePoint asked)
{
    const core::Lock lock(m_mutex);
    if (m_standing && m_standing->revision >= revision) {
        m_permission.confirm(asked);
    }
}

void ClusterView::learnHosts(const membership::HostUpdate &news)
{
    const core::Lock lock(m_mutex);
    membership::apply(news, m_hosts);
}

core::Result<std::shared_ptr<const changes::ActiveConfiguration>> ClusterView::current(core::TimePoint now) const
{
    const core::Lock lock(m_mutex);
    const bool current = m_standing && isCurrentWithLock(now);
    const bool serves = m_standing && m_standing->configuration->limits.whenStale == configuration::WhenStale::Serve;
    if (!current && !serves) {
        return core::Error{core::ErrorCode::NotCurrent, {}};
    }
    return m_standing;
}

bool ClusterView::isCurrent(core::TimePoint now) const
{
    const core::Lock lock(m_mutex);
    return m_standing && isCurrentWithLock(now);
}

bool ClusterView::isCurrentWithLock(core::TimePoint now) const
{
    return m_permission.holds(now, m_standing->configuration->limits.permission);
}

std::shared_ptr<const changes::ActiveConfiguration> ClusterView::latest() const
{
    const core::Lock lock(m_mutex);
    return m_standing;
}

std::uint64_t ClusterView::revision() const
{
    const core::Lock lock(m_mutex);
    return m_standing ? m_standing->revision : 0;
}

std::vector<membership::EntryHost> ClusterView::hosts() const
{
    const core::Lock lock(m_mutex);
    std::vector<membership::EntryHost> hosts;
    hosts.reserve(m_hosts.size());
    for (const auto &[id, host] : m_hosts) {
        hosts.push_back(host);
    }
    return hosts;
}

std::vector<membership::EntryHost> knownHosts(const ClusterView &view, const membership::EntryHost &self)
{
    auto known = view.hosts();
    for (auto &host : known) {
        host.stopping = host.stopping || (host.id == self.id && self.stopping);
    }
    return known;
}

std::vector<core::FailureDomain> outDomains(const changes::ActiveConfiguration &standing)
{
    std::vector<core::FailureDomain> domains;
    for (const auto &[name, domain] : standing.domains) {
        if (domain.out) {
            domains.push_back(name);
        }
    }
    return domains;
}

} // namespace pimentoshed::entry
