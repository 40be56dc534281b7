/**
 * @file
 * The entry hosts, and which of them a caller is told to use.
 */
#pragma once

#include "core/ids.h"
#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pimentoshed::membership
{

/** An entry host as it reports itself. */
struct EntryHost {
    core::HostId id;
    core::FailureDomain domain;
    /** Where callers reach it, as IP:PORT. */
    std::string address;
    /** Raised at each start of the process. */
    std::uint64_t incarnation = 0;
    bool stopping = false;

    bool operator==(const EntryHost &) const = default;
};

/**
 * Up to @p count addresses in the order a caller should try them, from hosts that are neither stopping nor in a domain
 * of @p outDomains. Hosts of @p preferred come first, but one of another domain is among them where there is one, so
 * that the caller outlives the loss of a domain.
 */
std::vector<std::string> chooseAddresses(const std::vector<EntryHost> &hosts,
                                         const std::vector<core::FailureDomain> &outDomains,
                                         const core::FailureDomain &preferred,
                                         std::size_t count,
                                         const core::RandomSource &random);

} // namespace pimentoshed::membership
