#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::routing
{

namespace
{

bool takesNewWork(const targets::Target &target, const std::vector<core::FailureDomain> &outDomains)
{
    const bool serves = target.condition == targets::Condition::Cold || target.condition == targets::Condition::Warm;
    return serves && std::find(outDomains.begin(), outDomains.end(), target.domain) == outDomains.end();
}

unsigned limitOf(const configuration::Service &service, const targets::Target &target)
{
    return target.condition == targets::Condition::Cold ? service.coldSlots : service.slots;
}

} // namespace

Router::Router(Picker picker, core::FailureDomain ownDomain, core::RandomSource random)
    : m_picker(std::move(picker))
    , m_ownDomain(std::move(ownDomain))
    , m_random(std::move(random))
{
}

core::Result<Assignment> Router::assign(const configuration::Service &service,
                                        const std::vector<targets::Target> &targets,
                                        const std::vector<core::FailureDomain> &outDomains)
{
    const core::Lock lock(m_mutex);
    std::vector<Candidate> candidates;
    std::vector<const targets::Target *> eligible;
    for (const auto &target : targets) {
        if (!takesNewWork(target, outDomains)) {
            continue;
        }
        const auto counted = m_inFlight.find(target.id);
        const unsigned inFlight = counted == m_inFlight.end() ? 0 : counted->second;
        candidates.push_back({target.id, inFlight, limitOf(service, target), inFlight, target.domain == m_ownDomain});
        eligible.push_back(&target);
    }
    const auto position = m_picker(candidates, m_random);
    if (!position) {
        return core::Error{core::ErrorCode::NoTarget, service.name.str()};
    }
    const auto &chosen = *eligible[*position];
    ++m_inFlight[chosen.id];
    return Assignment{chosen.id, chosen.address};
}

void Router::release(const core::TargetId &target)
{
    const core::Lock lock(m_mutex);
    const auto counted = m_inFlight.find(target);
    if (counted == m_inFlight.end()) {
        return;
    }
    if (--counted->second == 0) {
        m_inFlight.erase(counted);
    }
}

unsigned Router::inFlight(const core::TargetId &target) const
{
    const core::Lock lock(m_mutex);
    const auto counted = m_inFlight.find(target);
    return counted == m_inFlight.end() ? 0 : counted->second;
}

} // namespace pimentoshed::routing
