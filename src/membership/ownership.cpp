#include "membership/ownership.h"

#include "membership/rendezvous.h"

#include <algorithm>

namespace pimentoshed::membership
{

namespace
{

bool hasMemberIn(const std::vector<Member> &members, const core::FailureDomain &domain)
{
    return std::any_of(members.begin(), members.end(), [&](const auto &member) {
        return member.domain == domain;
    });
}

} // namespace

const Member *ownerOf(const std::vector<Member> &members,
                      const core::TargetId &target,
                      const core::FailureDomain &domain)
{
    const bool restrictToDomain = hasMemberIn(members, domain);
    const Member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &member : members) {
        if (restrictToDomain && member.domain != domain) {
            continue;
        }
        const auto weight = rendezvousWeight(member.id.str(), target.str());
        if (best == nullptr || weight > bestWeight || (weight == bestWeight && member.id > best->id)) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace pimentoshed::membership
