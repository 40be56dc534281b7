/**
 * @file
 * A hash of the content of a change, to distinguish a change that is sent again from another one with the same id.
 */
#pragma once

#include "changes/change.h"

#include <cstdint>

namespace pimentoshed::changes
{

/** A 128-bit hash, which is the same on every host. */
struct Digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const Digest &) const = default;
};

/**
 * Returns the digest of what @p change requests. It leaves out the change count that a SetDomainAvailability expects
 * and the number that a StartRollout replaces, since an operator who resends the change after a lost answer reads them
 * again.
 */
Digest digestOf(const Change &change);

} // namespace pimentoshed::changes
