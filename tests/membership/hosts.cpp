#include "membership/hosts.h"

#include <catch2/catch.hpp>
#include <map>

using namespace pimentoshed;
using membership::EntryHost;

namespace
{

std::vector<EntryHost> seventeenHosts()
{
    const char *domains[] = {"ravne", "dravograd", "mezica"};
    std::vector<EntryHost> hosts;
    hosts.reserve(17);
    for (int i = 0; i < 17; ++i) {
        hosts.push_back({core::HostId("e" + std::to_string(i)),
                         core::FailureDomain(domains[i % 3]),
                         "127.0.1." + std::to_string(i) + ":80",
                         1,
                         false});
    }
    return hosts;
}

} // namespace

TEST_CASE("chosen addresses are of the caller's domain first and include one of another domain")
{
    const auto random = core::seededRandom(1);
    const auto addresses = membership::chooseAddresses(seventeenHosts(), {}, core::FailureDomain("ravne"), 3, random);
    REQUIRE(addresses.size() == 3);
    const auto hosts = seventeenHosts();
    const auto domainOf = [&hosts](const std::string &address) {
        return std::find_if(hosts.begin(),
                            hosts.end(),
                            [&](const auto &host) {
                                return host.address == address;
                            })
            ->domain.str();
    };
    CHECK(domainOf(addresses[0]) == "ravne");
    CHECK(domainOf(addresses[1]) == "ravne");
    CHECK(domainOf(addresses[2]) != "ravne");
}

TEST_CASE("chosen addresses exclude hosts that are stopping or whose domain is out of service")
{
    auto hosts = seventeenHosts();
    hosts[1].stopping = true;
    const auto random = core::seededRandom(2);
    for (int i = 0; i < 200; ++i) {
        const auto addresses =
            membership::chooseAddresses(hosts, {core::FailureDomain("ravne")}, core::FailureDomain("ravne"), 3, random);
        CHECK(addresses.size() == 3);
        for (const auto &address : addresses) {
            CHECK(address != hosts[0].address);
            CHECK(address != hosts[1].address);
        }
    }
}

TEST_CASE("chosen addresses for callers without a domain are spread evenly over all hosts")
{
    const auto random = core::seededRandom(3);
    std::map<std::string, int> first;
    constexpr int Calls = 17000;
    for (int i = 0; i < Calls; ++i) {
        ++first[membership::chooseAddresses(seventeenHosts(), {}, {}, 3, random).front()];
    }
    CHECK(first.size() == 17);
    for (const auto &[address, count] : first) {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
}

namespace
{

membership::AddressOptions localOptions(std::string_view name)
{
    membership::AddressOptions options;
    options.preferredDomain = core::FailureDomain("ravne");
    options.hostName = name;
    options.hostShare = 1.0 / 3;
    options.minHosts = 2;
    options.maxHosts = 64;
    return options;
}

} // namespace

TEST_CASE("a host name is served by the same part of the local hosts for all callers, and a stopped host is replaced")
{
    auto hosts = seventeenHosts();
    const auto before = membership::addressesForHostName(hosts, localOptions("a.example"));
    REQUIRE(before.size() == 2);
    std::reverse(hosts.begin(), hosts.end());
    CHECK(membership::addressesForHostName(hosts, localOptions("a.example")) == before);
    for (auto &host : hosts) {
        host.stopping = host.address == before[0];
    }
    const auto after = membership::addressesForHostName(hosts, localOptions("a.example"));
    REQUIRE(after.size() == 2);
    CHECK(after[0] == before[1]);
}

TEST_CASE("host names are spread over the local hosts")
{
    std::map<std::string, int> served;
    for (int i = 0; i < 600; ++i) {
        for (const auto &address :
             membership::addressesForHostName(seventeenHosts(), localOptions("n" + std::to_string(i) + ".example"))) {
            ++served[address];
        }
    }
    CHECK(served.size() == 6);
    for (const auto &[address, count] : served) {
        CHECK(count > 120);
    }
}

TEST_CASE("callers of a domain with too few hosts get addresses of all domains")
{
    auto hosts = seventeenHosts();
    for (auto &host : hosts) {
        host.stopping = host.domain == core::FailureDomain("ravne") && host.id != core::HostId("e0");
    }
    CHECK(membership::addressesForHostName(hosts, localOptions("a.example")).size() == 4);
}
