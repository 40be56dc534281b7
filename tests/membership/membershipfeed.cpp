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

TEST_CASE("the feed sends peers only changes reported to this control host directly, and entry hosts everything")
{
    membership::MembershipFeed feed;
    feed.updateTarget(makeTarget("earlier"), UpdateSource::Own);
    const auto startPosition = feed.position(SubscriberKind::Peers);
    feed.updateTarget(makeTarget("own"), UpdateSource::Own);
    const auto peerPosition = feed.position(SubscriberKind::Peers);
    feed.updateTarget(makeTarget("passed-on"), UpdateSource::Peer);
    feed.updatePeerHosts(core::HostId("c2"), {true, {makeHost("e2")}, {}});
    CHECK(feed.position(SubscriberKind::Peers) == peerPosition);
    CHECK(feed.position(SubscriberKind::EntryHosts) > peerPosition);
    const auto peerUpdate = feed.updateSince(startPosition, SubscriberKind::Peers);
    REQUIRE(peerUpdate.targets.size() == 1);
    CHECK(peerUpdate.targets.front().id == core::TargetId("own"));
    CHECK(peerUpdate.hosts.hosts.empty());
    const auto hostUpdate = feed.updateSince(0, SubscriberKind::EntryHosts);
    CHECK(hostUpdate.targets.size() == 3);
    CHECK(hostUpdate.hosts.hosts.size() == 1);
    feed.recordContact(makeHost("e1"), Start);
    CHECK(feed.updateSince(peerPosition, SubscriberKind::Peers).hosts.hosts.size() == 1);
}

// Guards against a restarted control host that never learns again which incarnation of a target serves.
TEST_CASE("a peer without a position in the feed gets all targets, those that it may have reported itself included")
{
    membership::MembershipFeed feed;
    feed.updateTarget(makeTarget("own"), UpdateSource::Own);
    feed.updateTarget(makeTarget("of-peer"), UpdateSource::Peer);
    CHECK(feed.updateSince(0, SubscriberKind::Peers).targets.size() == 2);
}

TEST_CASE("the feed has no update for a subscriber at the latest position")
{
    membership::MembershipFeed feed;
    feed.updateTarget(makeTarget("t1"));
    feed.recordContact(makeHost("e1"), Start);
    const auto update = feed.updateSince(feed.position(SubscriberKind::EntryHosts), SubscriberKind::EntryHosts);
    CHECK(update.targets.empty());
    CHECK(update.hosts.empty());
}

TEST_CASE("a target that came from a peer is sent to peers once it is reported to this control host directly")
{
    membership::MembershipFeed feed;
    feed.updateTarget(makeTarget("t0"), UpdateSource::Own);
    const auto start = feed.position(SubscriberKind::Peers);
    feed.updateTarget(makeTarget("t1"), UpdateSource::Peer);
    CHECK(feed.updateSince(start, SubscriberKind::Peers).targets.empty());
    CHECK(feed.updateTarget(makeTarget("t1"), UpdateSource::Own));
    CHECK(feed.updateSince(start, SubscriberKind::Peers).targets.size() == 1);
    CHECK_FALSE(feed.updateTarget(makeTarget("t1"), UpdateSource::Own));
    CHECK_FALSE(feed.updateTarget(makeTarget("t1"), UpdateSource::Peer));
    CHECK(feed.updateSince(start, SubscriberKind::Peers).targets.size() == 1);
}
