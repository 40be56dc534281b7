#include "targets/withdrawals.h"

namespace pimentoshed::targets
{

Target Withdrawals::record(const Target &target)
{
    auto withdrawn = target;
    withdrawn.version.withdrawn = true;
    withdrawn.version.leaseEpoch = 0;
    const auto [position, isNew] = m_latest.try_emplace(target.id, withdrawn);
    if (!isNew && position->second.version < withdrawn.version) {
        position->second = withdrawn;
    }
    if (isNew) {
        m_order.push_back(target.id);
    }
    if (m_order.size() > MaxWithdrawals) {
        m_latest.erase(m_order.front());
        m_order.pop_front();
    }
    return position->second;
}

Target Withdrawals::applyTo(Target target) const
{
    const auto found = m_latest.find(target.id);
    if (found == m_latest.end() || found->second.version.incarnation != target.version.incarnation) {
        return target;
    }
    target.version.withdrawn = true;
    if (target.condition != Condition::Gone) {
        target.condition = found->second.condition;
    }
    return target;
}

std::vector<Target> Withdrawals::all() const
{
    std::vector<Target> found;
    found.reserve(m_order.size());
    for (const auto &id : m_order) {
        found.push_back(m_latest.at(id));
    }
    return found;
}

} // namespace pimentoshed::targets
