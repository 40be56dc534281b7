/**
 * @file
 * Rendezvous hashing: which members a key belongs to, so that a change of members moves as few keys as can be.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace pimentoshed::membership
{

/** The weight of @p member for @p key, equal on all hosts; the key belongs to the members with the highest ones. */
std::uint64_t rendezvousWeight(std::string_view member, std::string_view key);

} // namespace pimentoshed::membership
