#include "routing/requestpacer.h"

#include <utility>

namespace pimentoshed::routing
{

RequestPacer::RequestPacer(core::HostId self)
    : m_self(std::move(self))
{
}

void RequestPacer::setSenders(RequestSendersHook senders)
{
    const core::Lock lock(m_mutex);
    m_senders = std::move(senders);
}

membership::RequestPace RequestPacer::paceFor(const targets::Target &target, double limit) const
{
    const core::Lock lock(m_mutex);
    const auto senders = m_senders ? m_senders(target.service, target.domain) : membership::RequestSenders{};
    return membership::requestPace(target.id, limit, senders, m_self);
}

} // namespace pimentoshed::routing
