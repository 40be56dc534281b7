#include "control/replicatedstate.h"

#include "core/log.h"
#include "rpc/commandcodec.h"

namespace pimentoshed::control
{

ReplicatedState::ReplicatedState()
    : m_standing(std::make_shared<const changes::Standing>())
{
}

std::string ReplicatedState::apply(const std::string &payload)
{
    const auto change = rpc::decodeCommand(payload);
    if (!core::ok(change)) {
        core::log(core::LogLevel::Error, "command-malformed", {{"error", describe(core::error(change))}});
        return rpc::encodeAnswer(core::error(change));
    }
    const core::Lock lock(m_mutex);
    const auto answer = m_ledger.apply(core::value(change));
    publish();
    return rpc::encodeAnswer(answer);
}

std::shared_ptr<const changes::Standing> ReplicatedState::standing() const
{
    const core::Lock lock(m_mutex);
    return m_standing;
}

void ReplicatedState::publish()
{
    if (m_standing->revision != m_ledger.standing().revision) {
        m_standing = std::make_shared<const changes::Standing>(m_ledger.standing());
    }
}

} // namespace pimentoshed::control
