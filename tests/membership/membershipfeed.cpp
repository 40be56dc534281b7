#include "membership/membershipfeed.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using membership::SubscriberKind;
using membership::UpdateSource;

namespace
{

const core::TimePoint Start{};

targets::Target makeTarget(const std::string &id)
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.version = {1, 1};
    return target;
}

membership::EntryHost makeHost(const std::string &id)
{
    return {core::HostId(id), core::FailureDomain("ravne"), "127.0.0.1:1", 1, false};
}

} // namespace

TEST_CASE("a control host tells its peers only what it heard itself, and entry hosts everything")
{
    membership::MembershipFeed hub;
    hub.updateTarget(makeTarget("own"), UpdateSource::Own);
    const auto told = hub.position(SubscriberKind::Peers);
    hub.updateTarget(makeTarget("passed-on"), UpdateSource::Peer);
    hub.updatePeerHosts(core::HostId("c2"), {true, {makeHost("e2")}, {}});
    CHECK(hub.position(SubscriberKind::Peers) == told);
    CHECK(hub.position(SubscriberKind::EntryHosts) > told);
    const auto toPeers = hub.updateSince(0, SubscriberKind::Peers);
    REQUIRE(toPeers.targets.size() == 1);
    CHECK(toPeers.targets.front().id == core::TargetId("own"));
    CHECK(toPeers.hosts.hosts.empty());
    const auto toHosts = hub.updateSince(0, SubscriberKind::EntryHosts);
    CHECK(toHosts.targets.size() == 2);
    CHECK(toHosts.hosts.hosts.size() == 1);
    hub.recordContact(makeHost("e1"), Start);
    CHECK(hub.updateSince(told, SubscriberKind::Peers).hosts.hosts.size() == 1);
}

TEST_CASE("who has heard everything is told nothing")
{
    membership::MembershipFeed hub;
    hub.updateTarget(makeTarget("t1"));
    hub.recordContact(makeHost("e1"), Start);
    const auto news = hub.updateSince(hub.position(SubscriberKind::EntryHosts), SubscriberKind::EntryHosts);
    CHECK(news.targets.empty());
    CHECK(news.hosts.empty());
}
