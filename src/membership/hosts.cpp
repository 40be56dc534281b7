#include "membership/hosts.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::membership
{

namespace
{

void shuffle(std::vector<const EntryHost *> &hosts, const core::RandomSource &random)
{
    for (std::size_t left = hosts.size(); left > 1; --left) {
        std::swap(hosts[left - 1], hosts[core::randomBelow(random, left)]);
    }
}

bool contains(const std::vector<core::FailureDomain> &domains, const core::FailureDomain &domain)
{
    return std::find(domains.begin(), domains.end(), domain) != domains.end();
}

std::vector<std::string> addresses(const std::vector<const EntryHost *> &hosts)
{
    std::vector<std::string> found;
    found.reserve(hosts.size());
    for (const auto *host : hosts) {
        found.push_back(host->address);
    }
    return found;
}

} // namespace

std::vector<const EntryHost *> hostsForHostName(const std::vector<EntryHost> &hosts, const AddressOptions &options)
{
    std::vector<const EntryHost *> local;
    std::vector<const EntryHost *> all;
    for (const auto &host : hosts) {
        if (!host.stopping) {
            all.push_back(&host);
            if (host.domain == options.preferredDomain) {
                local.push_back(&host);
            }
        }
    }
    auto &chosen = local.size() < std::min(options.minHosts, all.size()) ? all : local;
    std::sort(chosen.begin(), chosen.end(), [&options](const EntryHost *left, const EntryHost *right) {
        return rendezvousWeight(left->id.str(), options.hostName) > rendezvousWeight(right->id.str(), options.hostName);
    });
    const auto shareCount = static_cast<std::size_t>(std::ceil(static_cast<double>(chosen.size()) * options.hostShare));
    chosen.resize(std::min({chosen.size(), std::max(shareCount, options.minHosts), options.maxHosts}));
    return chosen;
}

std::vector<const EntryHost *> hostsOfDomain(const std::vector<EntryHost> &hosts,
                                             const core::FailureDomain &domain,
                                             std::string_view hostName)
{
    AddressOptions options;
    options.preferredDomain = domain;
    options.hostName = hostName;
    options.maxHosts = hosts.size();
    return hostsForHostName(hosts, options);
}

std::vector<std::string> addressesForHostName(const std::vector<EntryHost> &hosts, const AddressOptions &options)
{
    return addresses(hostsForHostName(hosts, options));
}

std::vector<std::string> chooseAddresses(const std::vector<EntryHost> &hosts,
                                         const std::vector<core::FailureDomain> &excludedDomains,
                                         const core::FailureDomain &preferred,
                                         std::size_t count,
                                         const core::RandomSource &random)
{
    std::vector<const EntryHost *> local;
    std::vector<const EntryHost *> remote;
    for (const auto &host : hosts) {
        if (host.stopping || contains(excludedDomains, host.domain)) {
            continue;
        }
        (host.domain == preferred ? local : remote).push_back(&host);
    }
    shuffle(local, random);
    shuffle(remote, random);
    const std::size_t reserved = remote.empty() || count < 2 ? 0 : 1;
    const auto localCount = std::min(local.size(), count - reserved);
    std::vector<const EntryHost *> chosen(local.begin(), local.begin() + static_cast<std::ptrdiff_t>(localCount));
    const auto remoteCount = std::min(remote.size(), count - localCount);
    chosen.insert(chosen.end(), remote.begin(), remote.begin() + static_cast<std::ptrdiff_t>(remoteCount));
    return addresses(chosen);
}

} // namespace pimentoshed::membership
