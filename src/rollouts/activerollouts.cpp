#include "rollouts/activerollouts.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::rollouts
{

ActiveRollouts::ActiveRollouts(core::HostId self, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void ActiveRollouts::follow(const std::map<core::ServiceName, Rollout> &rollouts)
{
    const core::Lock lock(m_mutex);
    std::erase_if(m_entries, [&rollouts](const auto &entry) {
        return rollouts.count(entry.first) == 0;
    });
    for (const auto &[service, rollout] : rollouts) {
        auto &entry = m_entries[service];
        if (rollout.state != State::Running || rollout.number != entry.rollout.number) {
            entry.counts.clear();
        }
        entry.rollout = rollout;
    }
    m_hasRollouts = !m_entries.empty();
    m_isCounting = std::any_of(m_entries.begin(), m_entries.end(), [](const auto &entry) {
        return entry.second.rollout.state == State::Running;
    });
}

void ActiveRollouts::setCurrentUntil(core::TimePoint end)
{
    if (m_hasRollouts) {
        const core::Lock lock(m_mutex);
        m_currentUntil = end;
    }
}

std::optional<VersionShare> ActiveRollouts::shareOf(const core::ServiceName &service, core::TimePoint now) const
{
    if (!m_hasRollouts) {
        return std::nullopt;
    }
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(service);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const auto &rollout = found->second.rollout;
    const bool isOutdated = rollout.state == State::Running && now >= m_currentUntil;
    return VersionShare{rollout.order.softwareVersion, isOutdated ? 0 : rollout.share()};
}

void ActiveRollouts::record(const AttemptResult &result)
{
    if (!m_isCounting) {
        return;
    }
    const core::Lock lock(m_mutex);
    const auto found = m_entries.find(result.service);
    if (found == m_entries.end() || found->second.rollout.state != State::Running) {
        return;
    }
    auto &compared = found->second.counts[result.route];
    const bool isNew = result.softwareVersion == found->second.rollout.order.softwareVersion;
    auto &counts = isNew ? compared.newVersion : compared.oldVersions;
    ++counts.responses;
    if (result.failed) {
        ++counts.failures;
    } else if (result.processingTime) {
        ++counts.durations.at(bucketOf(*result.processingTime));
    }
}

bool ActiveRollouts::isCounting() const
{
    return m_isCounting;
}

std::vector<HostCounts> ActiveRollouts::totals() const
{
    std::vector<HostCounts> all;
    const core::Lock lock(m_mutex);
    for (const auto &[service, entry] : m_entries) {
        for (const auto &[route, counts] : entry.counts) {
            all.push_back({m_self, m_incarnation, service, entry.rollout.number, route, counts});
        }
    }
    return all;
}

} // namespace pimentoshed::rollouts
