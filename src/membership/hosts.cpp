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

std::vector<std::string> addressesForHostName(const std::vector<EntryHost> &hosts, const AddressOptions &terms)
{
    std::vector<const EntryHost *> near;
    std::vector<const EntryHost *> all;
    for (const auto &host : hosts) {
        if (!host.stopping) {
            all.push_back(&host);
            if (host.domain == terms.preferredDomain) {
                near.push_back(&host);
            }
        }
    }
    auto &chosen = near.size() < std::min(terms.minHosts, all.size()) ? all : near;
    std::sort(chosen.begin(), chosen.end(), [&terms](const EntryHost *left, const EntryHost *right) {
        return rendezvousWeight(left->id.str(), terms.hostName) > rendezvousWeight(right->id.str(), terms.hostName);
    });
    const auto part = static_cast<std::size_t>(std::ceil(static_cast<double>(chosen.size()) * terms.hostShare));
    chosen.resize(std::min({chosen.size(), std::max(part, terms.minHosts), terms.maxHosts}));
    return addresses(chosen);
}

std::vector<std::string> chooseAddresses(const std::vector<EntryHost> &hosts,
                                         const std::vector<core::FailureDomain> &outDomains,
                                         const core::FailureDomain &preferred,
                                         std::size_t count,
                                         const core::RandomSource &random)
{
    std::vector<const EntryHost *> near;
    std::vector<const EntryHost *> far;
    for (const auto &host : hosts) {
        if (host.stopping || contains(outDomains, host.domain)) {
            continue;
        }
        (host.domain == preferred ? near : far).push_back(&host);
    }
    shuffle(near, random);
    shuffle(far, random);
    const std::size_t reserved = far.empty() || count < 2 ? 0 : 1;
    const auto nearCount = std::min(near.size(), count - reserved);
    std::vector<const EntryHost *> chosen(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(nearCount));
    const auto farCount = std::min(far.size(), count - nearCount);
    chosen.insert(chosen.end(), far.begin(), far.begin() + static_cast<std::ptrdiff_t>(farCount));
    return addresses(chosen);
}

} // namespace pimentoshed::membership
