/**
 * @file
 * A short stand-in for the content of a change, to tell a change that is sent again from another of the same id.
 */
#pragma once

#include "changes/change.h"

#include <cstdint>

namespace pimentoshed::changes
{

/** 128 bits of a hash; the same on every host. */
struct Digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const Digest &) const = default;
};

/**
 * The digest of what @p change asks for. The count that a SetDomainAvailability replaces is no part of it: who sends it
 * again after a lost answer reads that count anew.
 */
Digest digestOf(const Change &change);

} // namespace pimentoshed::changes
