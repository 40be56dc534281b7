#include "entry/clusterview.h"

#include <utility>

namespace pimentoshed::entry
{

bool ClusterView::adopt(changes::ActiveConfiguration active)
{
    // Made before the lock is taken, because it takes milliseconds for many keys.
    workspaces::KeyTable keys(active.configuration);
    auto made = std::make_shared<const EntryConfiguration>(EntryConfiguration{std::move(active), std::move(keys)});
    const core::Lock lock(m_mutex);
    if (m_active && made->revision <= m_active->revision) {
        return false;
    }
    m_active = std::move(made);
    return true;
}

void ClusterView::confirm(std::uint64_t revision, core::TimePoint sent)
{
    const core::Lock lock(m_mutex);
    if (m_active && m_active->revision >= revision) {
        m_permission.confirm(sent);
    }
}

void ClusterView::updateHosts(const membership::HostUpdate &update)
{
    const core::Lock lock(m_mutex);
    membership::apply(update, m_hosts);
}

core::Result<std::shared_ptr<const EntryConfiguration>> ClusterView::current(core::TimePoint now) const
{
    const core::Lock lock(m_mutex);
    const bool current = m_active && now < m_permission.end(m_active->configuration->limits.permission);
    const bool servesStale = m_active && m_permission.isConfirmed()
                             && m_active->configuration->limits.whenStale == configuration::WhenStale::Serve;
    if (!current && !servesStale) {
        return core::Error{core::ErrorCode::NotCurrent, {}};
    }
    return m_active;
}

core::TimePoint ClusterView::currentUntil() const
{
    const core::Lock lock(m_mutex);
    return m_active ? m_permission.end(m_active->configuration->limits.permission) : core::TimePoint();
}

bool ClusterView::hasConfirmedConfiguration() const
{
    const core::Lock lock(m_mutex);
    return m_permission.isConfirmed();
}

std::shared_ptr<const EntryConfiguration> ClusterView::latest() const
{
    const core::Lock lock(m_mutex);
    return m_active;
}

std::uint64_t ClusterView::revision() const
{
    const core::Lock lock(m_mutex);
    return m_active ? m_active->revision : 0;
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

std::size_t ClusterView::hostCount() const
{
    const core::Lock lock(m_mutex);
    return m_hosts.size();
}

std::vector<membership::EntryHost> knownHosts(const ClusterView &view, const membership::EntryHost &self)
{
    auto known = view.hosts();
    for (auto &host : known) {
        host.stopping = host.stopping || (host.id == self.id && self.stopping);
    }
    return known;
}

std::vector<core::FailureDomain> domainsOutOfService(const changes::ActiveConfiguration &active)
{
    std::vector<core::FailureDomain> domains;
    for (const auto &[name, domain] : active.domains) {
        if (domain.out) {
            domains.push_back(name);
        }
    }
    return domains;
}

} // namespace pimentoshed::entry
