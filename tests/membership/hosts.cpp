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

TEST_CASE("an answer prefers the caller's domain and holds an address of another")
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

TEST_CASE("hosts that stop or whose domain is out are left out")
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

TEST_CASE("callers without a domain are spread evenly")
{
    const auto random = core::seededRandom(3);
    std::map<std::string, int> first;
    constexpr int Asked = 17000;
    for (int i = 0; i < Asked; ++i) {
        ++first[membership::chooseAddresses(seventeenHosts(), {}, {}, 3, random).front()];
    }
    CHECK(first.size() == 17);
    for (const auto &[address, count] : first) {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
}
