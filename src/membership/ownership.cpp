#include "membership/ownership.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::membership
{

namespace
{

/** Assumed limit of clock drift: in any period the clocks of two hosts differ by at most 1/20 of it. */
constexpr int ClockDriftDivisor = 20;

std::uint64_t weight(const Member &member, const core::TargetId &target)
{
    return rendezvousWeight(member.id.str(), target.str());
}

bool hasMemberIn(const OwnershipView &view, const core::FailureDomain &domain)
{
    return std::any_of(view.members.begin(), view.members.end(), [&](const auto &member) {
        return member.domain == domain;
    });
}

} // namespace

const Member *ownerOf(const OwnershipView &view, const core::TargetId &target, const core::FailureDomain &domain)
{
    const bool restrictToDomain = hasMemberIn(view, domain);
    const Member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &member : view.members) {
        if (restrictToDomain && member.domain != domain) {
            continue;
        }
        const auto memberWeight = weight(member, target);
        if (best == nullptr || memberWeight > bestWeight || (memberWeight == bestWeight && member.id > best->id)) {
            best = &member;
            bestWeight = memberWeight;
        }
    }
    return best;
}

OwnershipParticipant::OwnershipParticipant(core::HostId self, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void OwnershipParticipant::addView(const OwnershipView &view)
{
    if (m_views.empty() || view.number > m_views.back().number) {
        m_views.push_back(view);
    }
}

void OwnershipParticipant::settle(std::uint64_t number)
{
    if (m_views.empty() || number != m_views.back().number) {
        return;
    }
    m_views.erase(m_views.begin(), m_views.end() - 1);
    m_settled = true;
}

bool OwnershipParticipant::confirm(core::TimePoint sent, core::TimePoint now, core::Duration permission)
{
    const bool lapsed = !m_permission.isValid(now, permission);
    if (lapsed) {
        m_settled = false;
    }
    m_permission.confirm(sent);
    return lapsed;
}

std::uint64_t OwnershipParticipant::acknowledged() const
{
    return m_views.empty() ? 0 : m_views.back().number;
}

bool OwnershipParticipant::owns(const core::TargetId &target,
                                const core::FailureDomain &domain,
                                core::TimePoint now,
                                core::Duration permission) const
{
    return m_settled && m_permission.isValid(now, permission) && ownsInAllViews(target, domain);
}

bool OwnershipParticipant::ownsInAllViews(const core::TargetId &target, const core::FailureDomain &domain) const
{
    return std::all_of(m_views.begin(), m_views.end(), [&](const auto &view) {
        const auto *owner = ownerOf(view, target, domain);
        return owner != nullptr && owner->id == m_self && owner->incarnation == m_incarnation;
    });
}

OwnershipCoordinator::OwnershipCoordinator(OwnershipView view,
                                           const std::vector<Member> &others,
                                           core::TimePoint now,
                                           core::Duration permission)
    : m_view(std::move(view))
    , m_permission(permission + permission / ClockDriftDivisor)
{
    for (const auto &member : m_view.members) {
        m_activeMembers[member] = {0, now + m_permission};
    }
    for (const auto &member : others) {
        m_activeMembers[member] = {0, now + m_permission};
    }
}

bool OwnershipCoordinator::propose(std::vector<Member> members)
{
    std::sort(members.begin(), members.end());
    if (members == m_view.members) {
        return false;
    }
    m_view = {m_view.number + 1, std::move(members)};
    return true;
}

void OwnershipCoordinator::recordPoll(const Member &member, std::uint64_t acknowledged, core::TimePoint now)
{
    auto &active = m_activeMembers[member];
    active.acknowledged = std::max(active.acknowledged, acknowledged);
    active.permissionEnd = std::max(active.permissionEnd, now + m_permission);
}

void OwnershipCoordinator::removeMember(const Member &member)
{
    m_activeMembers.erase(member);
}

const OwnershipView &OwnershipCoordinator::view() const
{
    return m_view;
}

std::optional<std::uint64_t> OwnershipCoordinator::settled(core::TimePoint now) const
{
    const bool all = std::all_of(m_activeMembers.begin(), m_activeMembers.end(), [&](const auto &entry) {
        return entry.second.acknowledged >= m_view.number || entry.second.permissionEnd <= now;
    });
    return all ? std::optional(m_view.number) : std::nullopt;
}

std::vector<Member> OwnershipCoordinator::activeMembers(core::TimePoint now) const
{
    std::vector<Member> found;
    for (const auto &[member, active] : m_activeMembers) {
        if (active.permissionEnd > now) {
            found.push_back(member);
        }
    }
    return found;
}

} // namespace pimentoshed::membership
