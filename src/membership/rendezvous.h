/**
 * @file
 * Rendezvous hashing: assigns keys to members so that a change of members moves as few keys as possible.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace pimentoshed::membership
{

/**
 * Returns the weight of @p member for @p key in rendezvous (highest random weight) hashing, the same on all hosts. The
 * key is assigned to the members with the highest weights.
 */
std::uint64_t rendezvousWeight(std::string_view member, std::string_view key);

} // namespace pimentoshed::membership
