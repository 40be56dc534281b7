/**
 * @file
 * Determines which entry host may send to a cold target.
 */
#pragma once

#include "core/ids.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace pimentoshed::membership
{

/** One process of an entry host. After a restart the host is a different member. */
struct Member {
    core::HostId id;
    std::uint64_t incarnation = 0;
    core::FailureDomain domain;

    auto operator<=>(const Member &) const = default;
};

/**
 * Returns the member that owns @p target, which is in failure domain @p domain: the member of that domain with the
 * highest rendezvous weight, or of all members if the domain has none. Returns nullptr if there are no members. The
 * order of the members doesn't matter.
 */
const Member *ownerOf(const std::vector<Member> &members,
                      const core::TargetId &target,
                      const core::FailureDomain &domain);

} // namespace pimentoshed::membership
