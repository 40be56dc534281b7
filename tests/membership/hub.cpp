#include "membership/hub.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using membership::Audience;
using membership::Teller;

namespace
{

const core::TimePoint Start{};

targets::Target makeTarget(const std::string &id)
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.word = {1, 1};
    return target;
}

membership::EntryHost makeHost(const std::string &id)
{
    return {core::HostId(id), core::FailureDomain("ravne"), "127.0.0.1:1", 1, false};
}

} // namespace

TEST_CASE("a control host tells its peers only what it heard itself, and entry hosts everything")
{
    membership::Hub hub;
    hub.learn(makeTarget("own"), Teller::Own);
    const auto told = hub.position(Audience::Peers);
    hub.learn(makeTarget("passed-on"), Teller::Peer);
    hub.hearFrom(core::HostId("c2"), {true, {makeHost("e2")}, {}});
    CHECK(hub.position(Audience::Peers) == told);
    CHECK(hub.position(Audience::EntryHosts) > told);
    const auto toPeers = hub.newsSince(0, Audience::Peers);
    REQUIRE(toPeers.targets.size() == 1);
    CHECK(toPeers.targets.front().id == core::TargetId("own"));
    CHECK(toPeers.hosts.hosts.empty());
    const auto toHosts = hub.newsSince(0, Audience::EntryHosts);
    CHECK(toHosts.targets.size() == 2);
    CHECK(toHosts.hosts.hosts.size() == 1);
    hub.hear(makeHost("e1"), Start);
    CHECK(hub.newsSince(told, Audience::Peers).hosts.hosts.size() == 1);
}

TEST_CASE("who has heard everything is told nothing")
{
    membership::Hub hub;
    hub.learn(makeTarget("t1"));
    hub.hear(makeHost("e1"), Start);
    const auto news = hub.newsSince(hub.position(Audience::EntryHosts), Audience::EntryHosts);
    CHECK(news.targets.empty());
    CHECK(news.hosts.empty());
}
