#include "routing/coldtargets.h"

#include <utility>

namespace pimentoshed::routing
{

ColdTargets::ColdTargets(core::HostId self, std::uint64_t incarnation, AnnouncesWarm announcesWarm)
    : m_announcesWarm(std::move(announcesWarm))
    , m_ownership(std::move(self), incarnation)
{
}

void ColdTargets::configure(std::shared_ptr<const configuration::Configuration> configuration)
{
    const core::Lock lock(m_mutex);
    m_configuration = std::move(configuration);
}

void ColdTargets::learn(const membership::OwnershipView &view)
{
    const core::Lock lock(m_mutex);
    if (view.number <= m_ownership.acknowledged()) {
        return;
    }
    m_ownership.learn(view);
    // What a view takes away and a later one gives back was another's meanwhile, though this host was never asked.
    std::erase_if(m_owned, [&](const auto &entry) {
        return !m_ownership.keeps(entry.first, entry.second.domain);
    });
}

void ColdTargets::settle(std::uint64_t number)
{
    const core::Lock lock(m_mutex);
    m_ownership.settle(number);
}

void ColdTargets::confirm(core::TimePoint asked, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (m_configuration && m_ownership.confirm(asked, now, m_configuration->limits.permission)) {
        m_owned.clear();
    }
}

std::uint64_t ColdTargets::acknowledged() const
{
    const core::Lock lock(m_mutex);
    return m_ownership.acknowledged();
}

unsigned ColdTargets::limit(const targets::Target &target, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    const auto *service = m_configuration ? configuration::findService(*m_configuration, target.service) : nullptr;
    if (service == nullptr || !owns(target, now)) {
        m_owned.erase(target.id);
        return 0;
    }
    const auto known = m_owned.find(target.id);
    if (known != m_owned.end() && known->second.word == target.word) {
        return known->second.ramp.limit(now);
    }
    const targets::ColdRamp ramp(terms(*service, target), now);
    m_owned.insert_or_assign(target.id, Entry{target.word, target.domain, ramp});
    return ramp.limit(now);
}

void ColdTargets::finish(const targets::Target &target,
                         const AttemptEnd &end,
                         core::Duration lateAfter,
                         core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    const auto known = m_owned.find(target.id);
    if (known == m_owned.end() || end.outcome == AttemptOutcome::Cancelled) {
        return;
    }
    known->second.ramp.finish(end.outcome == AttemptOutcome::Answered && end.latency <= lateAfter, now);
}

void ColdTargets::reportForeign(const targets::Target &target, unsigned inProgress)
{
    const core::Lock lock(m_mutex);
    const auto known = m_owned.find(target.id);
    if (known != m_owned.end() && known->second.word == target.word) {
        known->second.ramp.reportForeign(inProgress);
    }
}

bool ColdTargets::owns(const targets::Target &target, core::TimePoint now) const
{
    return m_ownership.owns(target.id, target.domain, now, m_configuration->limits.permission);
}

targets::ColdTerms ColdTargets::terms(const configuration::Service &service, const targets::Target &target) const
{
    return {service.coldSlots,
            service.slots,
            service.warmUp,
            service.deadline,
            m_announcesWarm ? m_announcesWarm(target) : true};
}

} // namespace pimentoshed::routing
