#include "membership/rendezvous.h"

namespace pimentoshed::membership
{

namespace
{

constexpr std::uint64_t FnvBasis = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

std::uint64_t hashText(std::uint64_t state, std::string_view text)
{
    for (const char byte : text) {
        state = (state ^ static_cast<unsigned char>(byte)) * FnvPrime;
    }
    // Marks the end of the text, so that "a" + "bc" and "ab" + "c" get different hashes.
    return (state ^ 0xffU) * FnvPrime;
}

/** The finaliser of SplitMix64. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view member, std::string_view key)
{
    return mix(hashText(hashText(FnvBasis, member), key));
}

} // namespace pimentoshed::membership
