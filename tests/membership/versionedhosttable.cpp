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

TEST_CASE("a follower that applies each update has all hosts and is sent only the changes")
{
    membership::VersionedHostTable table;
    CHECK(table.updateSince(0).empty());
    CHECK(table.replaceAll(makeHosts(0, 100), 1));
    CHECK_FALSE(table.replaceAll(makeHosts(0, 100), 2));
    HostMap followed;
    const auto first = table.updateSince(0);
    CHECK(first.isSnapshot);
    CHECK(membership::apply(first, followed));
    CHECK(followed == makeHosts(0, 100));

    auto changed = makeHosts(1, 101);
    changed.at(core::HostId("e5")) = makeHost(5, 2);
    CHECK(table.replaceAll(changed, 2));
    const auto second = table.updateSince(1);
    CHECK_FALSE(second.isSnapshot);
    CHECK(second.hosts.size() == 2);
    CHECK(second.removed == std::vector{core::HostId("e0")});
    CHECK(membership::apply(second, followed));
    CHECK(followed == changed);
    CHECK(table.updateSince(2).empty());
}

TEST_CASE("removed hosts are dropped after a while, and a follower that missed them gets all hosts")
{
    membership::VersionedHostTable table;
    table.replaceAll(makeHosts(0, 1), 1);
    std::uint64_t position = 1;
    for (int i = 0; i < 600; ++i) {
        table.replaceAll(makeHosts(i + 1, i + 2), ++position);
    }
    HostMap followed = makeHosts(0, 1);
    const auto update = table.updateSince(1);
    CHECK(update.isSnapshot);
    CHECK(update.removed.empty());
    membership::apply(update, followed);
    CHECK(followed == makeHosts(600, 601));
    CHECK(table.updateSince(position - 1).removed.size() == 1);
}
