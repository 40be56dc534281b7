#include "membership/versionedhosttable.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using membership::EntryHost;
using membership::HostMap;

namespace
{

EntryHost makeHost(int number, std::uint64_t incarnation = 1)
{
    return {
        core::HostId("e" + std::to_string(number)), core::FailureDomain("ravne"), "127.0.0.1:1", incarnation, false};
}

HostMap makeHosts(int from, int to)
{
    HostMap hosts;
    for (int i = from; i < to; ++i) {
        hosts.emplace(makeHost(i).id, makeHost(i));
    }
    return hosts;
}

} // namespace

TEST_CASE("a follower that takes each change knows the hosts, and is sent only what changed")
{
    membership::VersionedHostTable roster;
    CHECK(roster.updateSince(0).empty());
    CHECK(roster.become(makeHosts(0, 100), 1));
    CHECK_FALSE(roster.become(makeHosts(0, 100), 2));
    HostMap followed;
    const auto first = roster.updateSince(0);
    CHECK(first.isSnapshot);
    CHECK(membership::apply(first, followed));
    CHECK(followed == makeHosts(0, 100));

    auto changed = makeHosts(1, 101);
    changed.at(core::HostId("e5")) = makeHost(5, 2);
    CHECK(roster.become(changed, 2));
    const auto second = roster.updateSince(1);
    CHECK_FALSE(second.isSnapshot);
    CHECK(second.hosts.size() == 2);
    CHECK(second.removed == std::vector{core::HostId("e0")});
    CHECK(membership::apply(second, followed));
    CHECK(followed == changed);
    CHECK(roster.updateSince(2).empty());
}

TEST_CASE("hosts that went are forgotten in time, and who missed them is told everything")
{
    membership::VersionedHostTable roster;
    roster.become(makeHosts(0, 1), 1);
    std::uint64_t position = 1;
    for (int i = 0; i < 600; ++i) {
        roster.become(makeHosts(i + 1, i + 2), ++position);
    }
    HostMap followed = makeHosts(0, 1);
    const auto news = roster.updateSince(1);
    CHECK(news.isSnapshot);
    CHECK(news.removed.empty());
    membership::apply(news, followed);
    CHECK(followed == makeHosts(600, 601));
    CHECK(roster.updateSince(position - 1).removed.size() == 1);
}
