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
#include <string_view>
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

/** A control host as the others reach it. */
struct ControlHost {
    core::HostId id;
    /** Where it takes the calls of other hosts, as IP:PORT. */
    std::string address;
    core::FailureDomain domain;

    bool operator==(const ControlHost &) const = default;
};

/** Who asks for addresses, and how many are to serve it. */
struct AddressOptions {
    core::FailureDomain preferredDomain;
    /** The host name that the callers will send: callers of one name share entry hosts. */
    std::string_view hostName;
    /** The share of the preferred domain's hosts that serve a name, and how many do at least. */
    double hostShare = 1;
    std::size_t minHosts = 1;
    std::size_t maxHosts = 1;
};

/**
 * The addresses of hosts that are not stopping, of the preferred domain; of every domain where that has fewer than
 * the least, so that callers outlive the loss of one. Few hosts for a name know more of its targets' load than many.
 */
std::vector<std::string> addressesForHostName(const std::vector<EntryHost> &hosts, const AddressOptions &terms);

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
