/**
 * @file
 * Records of entry hosts and control hosts, and the choice of the entry host addresses that a caller gets.
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

/** The record of an entry host, as the host itself reports it. */
struct EntryHost {
    core::HostId id;
    core::FailureDomain domain;
    /** Address for callers, as IP:PORT. */
    std::string address;
    /** Increases with each start of the process. */
    std::uint64_t incarnation = 0;
    bool stopping = false;

    bool operator==(const EntryHost &) const = default;
};

/** A control host and its address for other hosts. */
struct ControlHost {
    core::HostId id;
    /** Address for the RPC calls of other hosts, as IP:PORT. */
    std::string address;
    core::FailureDomain domain;

    bool operator==(const ControlHost &) const = default;
};

/** Which entry hosts serve a host name, and how many. */
struct AddressOptions {
    /** The failure domain of the caller. */
    core::FailureDomain preferredDomain;
    /** The host name that the callers will send. All callers of one host name use the same entry hosts. */
    std::string_view hostName;
    /** The fraction of the chosen hosts that serve one host name. */
    double hostShare = 1;
    /** The fewest hosts that serve one host name. */
    std::size_t minHosts = 1;
    /** The most addresses returned. */
    std::size_t maxHosts = 1;
};

/**
 * Returns the entry hosts that serve a host name, by rendezvous hashing, without hosts that are
 * stopping. They are of the preferred domain; if it has fewer hosts than the minimum, they are of all domains, so that
 * callers survive the loss of a host. A host name is served by few hosts, because each of them then handles more of its
 * requests and has more recent load data of its targets.
 */
std::vector<const EntryHost *> hostsForHostName(const std::vector<EntryHost> &hosts, const AddressOptions &options);

/** Returns the entry hosts of @p domain that are not stopping, whatever the host name; all domains' if there are none.
 */
std::vector<const EntryHost *> hostsOfDomain(const std::vector<EntryHost> &hosts,
                                             const core::FailureDomain &domain,
                                             std::string_view hostName);

/** Returns the addresses of hostsForHostName(). */
std::vector<std::string> addressesForHostName(const std::vector<EntryHost> &hosts, const AddressOptions &options);

/**
 * Returns up to @p count addresses in the order in which a caller should try them, from hosts that are neither stopping
 * nor in one of the @p excludedDomains (out of service). Hosts of @p preferred come first, in random order. If @p count
 * is two or more, one address of another domain is included where there is one, so that the caller survives the loss of
 * a domain.
 */
std::vector<std::string> chooseAddresses(const std::vector<EntryHost> &hosts,
                                         const std::vector<core::FailureDomain> &excludedDomains,
                                         const core::FailureDomain &preferred,
                                         std::size_t count,
                                         const core::RandomSource &random);

} // namespace pimentoshed::membership
