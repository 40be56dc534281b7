#include "routing/coldconcurrencylimiter.h"

#include <utility>

namespace pimentoshed::routing
{

ColdConcurrencyLimiter::ColdConcurrencyLimiter(core::HostId self,
                                               std::uint64_t incarnation,
                                               AnnouncesWarmHook announcesWarm)
    : m_announcesWarm(std::move(announcesWarm))
    , m_ownership(std::move(self), incarnation)
{
}

void ColdConcurrencyLimiter::configure(std::shared_ptr<const configuration::Configuration> configuration)
{
    const core::Lock lock(m_mutex);
    m_configuration = std::move(configuration);
}

void ColdConcurrencyLimiter::updateView(const membership::OwnershipView &view)
{
    const core::Lock lock(m_mutex);
    if (view.number <= m_ownership.acknowledged()) {
        return;
    }
    m_ownership.addView(view);
    // A target that one view takes away and a later view gives back may have had another owner in between, even if
    // limit() was not called during that time.
    std::erase_if(m_owned, [&](const auto &entry) {
        return !m_ownership.ownsInAllViews(entry.first, entry.second.domain);
    });
}

void ColdConcurrencyLimiter::settleView(std::uint64_t number)
{
    const core::Lock lock(m_mutex);
    m_ownership.settle(number);
}

void ColdConcurrencyLimiter::confirmPermission(core::TimePoint sentAt, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    if (m_configuration && m_ownership.confirm(sentAt, now, m_configuration->limits.permission)) {
        m_owned.clear();
    }
}

std::uint64_t ColdConcurrencyLimiter::acknowledgedView() const
{
    const core::Lock lock(m_mutex);
    return m_ownership.acknowledged();
}

unsigned ColdConcurrencyLimiter::limit(const targets::Target &target, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    const auto *service = m_configuration ? configuration::findService(*m_configuration, target.service) : nullptr;
    if (service == nullptr || !owns(target, now)) {
        m_owned.erase(target.id);
        return 0;
    }
    const auto known = m_owned.find(target.id);
    if (known != m_owned.end() && known->second.version == target.version) {
        return known->second.ramp.limit(now);
    }
    const targets::ColdRamp ramp(rampOptions(*service, target), now);
    m_owned.insert_or_assign(target.id, Entry{target.version, target.domain, ramp});
    return ramp.limit(now);
}

void ColdConcurrencyLimiter::recordEnd(const targets::Target &target,
                                       const AttemptEnd &end,
                                       core::Duration lateThreshold,
                                       core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    const auto known = m_owned.find(target.id);
    if (known == m_owned.end() || end.outcome == AttemptOutcome::Cancelled) {
        return;
    }
    known->second.ramp.finish(end.outcome == AttemptOutcome::Answered && end.latency <= lateThreshold, now);
}

void ColdConcurrencyLimiter::setForeignRequests(const targets::Target &target, unsigned inProgress)
{
    const core::Lock lock(m_mutex);
    const auto known = m_owned.find(target.id);
    if (known != m_owned.end() && known->second.version == target.version) {
        known->second.ramp.setForeignRequests(inProgress);
    }
}

bool ColdConcurrencyLimiter::owns(const targets::Target &target, core::TimePoint now) const
{
    return m_ownership.owns(target.id, target.domain, now, m_configuration->limits.permission);
}

targets::ColdRampOptions ColdConcurrencyLimiter::rampOptions(const configuration::Service &service,
                                                             const targets::Target &target) const
{
    return {service.coldSlots,
            service.slots,
            service.warmUp,
            service.deadline,
            m_announcesWarm ? m_announcesWarm(target) : true};
}

} // namespace pimentoshed::routing
