#include "control/replicatedstate.h"

#include "core/log.h"
#include "rpc/commandcodec.h"
#include "rpc/statecodec.h"

#include <utility>

namespace pimentoshed::control
{

ReplicatedState::ReplicatedState(configuration::FileParser parser,
                                 std::function<void(const targets::Target &)> onWithdrawn)
    : m_parser(std::move(parser))
    , m_onWithdrawn(std::move(onWithdrawn))
    , m_ledger(m_parser)
    , m_activeConfiguration(std::make_shared<const changes::ActiveConfiguration>())
{
}

std::string ReplicatedState::apply(const std::string &payload)
{
    const auto command = rpc::decodeCommand(payload);
    if (!core::ok(command)) {
        core::log(core::LogLevel::Error, "command-malformed", {{"error", describe(core::error(command))}});
        return rpc::encodeAnswer(core::error(command));
    }
    if (const auto *target = std::get_if<targets::Target>(&core::value(command))) {
        return rpc::encodeAnswer(withdraw(*target));
    }
    const core::Lock lock(m_mutex);
    const auto *move = std::get_if<changes::MoveRollout>(&core::value(command));
    const auto answer =
        move != nullptr ? m_ledger.apply(*move) : m_ledger.apply(std::get<changes::Change>(core::value(command)));
    publish();
    return rpc::encodeAnswer(answer);
}

changes::Answer ReplicatedState::withdraw(const targets::Target &target)
{
    targets::Target known;
    changes::Accepted accepted;
    {
        const core::Lock lock(m_mutex);
        known = m_withdrawals.record(target);
        accepted = {m_activeConfiguration->revision, m_activeConfiguration->version};
    }
    m_onWithdrawn(known);
    return accepted;
}

std::shared_ptr<const changes::ActiveConfiguration> ReplicatedState::activeConfiguration() const
{
    const core::Lock lock(m_mutex);
    return m_activeConfiguration;
}

targets::Target ReplicatedState::applyWithdrawal(const targets::Target &target) const
{
    const core::Lock lock(m_mutex);
    return m_withdrawals.applyTo(target);
}

std::string ReplicatedState::snapshot() const
{
    const core::Lock lock(m_mutex);
    return rpc::encodeState({m_ledger.snapshot(), m_withdrawals.all()});
}

core::Status ReplicatedState::restore(const std::string &bytes)
{
    auto state = rpc::decodeState(bytes);
    if (!core::ok(state)) {
        return core::error(state);
    }
    auto ledger = changes::Ledger::restore(std::move(core::value(state).ledger), m_parser);
    if (!core::ok(ledger)) {
        return core::error(ledger);
    }
    {
        const core::Lock lock(m_mutex);
        m_ledger = std::move(core::value(ledger));
        m_withdrawals = {};
        for (const auto &target : core::value(state).withdrawals) {
            m_withdrawals.record(target);
        }
        publish();
    }
    for (const auto &target : core::value(state).withdrawals) {
        m_onWithdrawn(target);
    }
    return std::monostate{};
}

void ReplicatedState::publish()
{
    if (m_activeConfiguration->revision != m_ledger.activeConfiguration().revision) {
        m_activeConfiguration = std::make_shared<const changes::ActiveConfiguration>(m_ledger.activeConfiguration());
    }
}

} // namespace pimentoshed::control
