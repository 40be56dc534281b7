#include "control/followrpchandler.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using control::FollowRpcHandler;

namespace
{

const core::TimePoint Start{};
constexpr std::uint64_t FeedId = 7;

/** A handler in failure domain ravne with control hosts in ravne and mezica, and the replies that it has sent. */
struct Fixture {
    std::shared_ptr<changes::ActiveConfiguration> activeConfiguration =
        std::make_shared<changes::ActiveConfiguration>();
    membership::MembershipFeed membershipFeed;
    FollowRpcHandler handler{{[this]() {
                                  return activeConfiguration;
                              },
                              membershipFeed,
                              core::FailureDomain("ravne"),
                              FeedId,
                              []() {
                                  return std::vector<membership::ControlHost>{
                                      {core::HostId("c1"), "127.0.0.1:1", core::FailureDomain("ravne")},
                                      {core::HostId("c2"), "127.0.0.2:1", core::FailureDomain("mezica")}};
                              },
                              [this]() {
                                  return isTargetKnowledgeComplete;
                              }}};
    bool isTargetKnowledgeComplete = false;
    std::vector<rpc::FollowReply> replies;

    void follow(const rpc::FollowRequest &request)
    {
        handler.handle(
            request,
            [this](const rpc::FollowReply &reply) {
                replies.push_back(reply);
            },
            Start);
    }

    /** Returns a call of a host that already has every update. */
    rpc::FollowRequest upToDateRequest(const std::string &domain) const
    {
        auto request = firstRequest(domain);
        request.set_feed_id(FeedId);
        request.set_feed_position(membershipFeed.position(membership::SubscriberKind::EntryHosts));
        return request;
    }

    /** Follows with an up-to-date call that has number @p ask. */
    void followNumbered(std::uint64_t ask)
    {
        auto request = upToDateRequest("ravne");
        request.set_ask(ask);
        follow(request);
    }

    /** Records that a quorum confirmed all calls received so far. */
    void confirmReceived(core::TimePoint now)
    {
        handler.recordConfirmation(handler.receivedCalls(), now);
    }

    /** Returns the first call of a host. */
    static rpc::FollowRequest firstRequest(const std::string &domain)
    {
        rpc::FollowRequest request;
        request.mutable_host()->set_id("e1");
        request.mutable_host()->set_domain(domain);
        request.set_hold_ms(800);
        return request;
    }

    void addTarget(const std::string &id)
    {
        targets::Target target;
        target.id = core::TargetId(id);
        membershipFeed.updateTarget(target);
    }
};

} // namespace

TEST_CASE("updates of targets are batched, a new configuration is sent at once")
{
    Fixture fixture;
    fixture.follow(fixture.upToDateRequest("ravne"));
    fixture.addTarget("t1");
    fixture.addTarget("t2");
    fixture.handler.answerDue(Start, FollowRpcHandler::UpdateScope::Configuration);
    CHECK(fixture.replies.empty());
    fixture.handler.answerDue(Start, FollowRpcHandler::UpdateScope::All);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].targets_size() == 2);
    fixture.follow(fixture.upToDateRequest("ravne"));
    fixture.activeConfiguration->revision = 5;
    fixture.handler.answerDue(Start, FollowRpcHandler::UpdateScope::Configuration);
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies[1].revision() == 5);
}

TEST_CASE("a follow call is answered when its hold time ends, and at once after close")
{
    Fixture fixture;
    fixture.follow(fixture.upToDateRequest("ravne"));
    fixture.handler.answerDue(Start + 799ms, FollowRpcHandler::UpdateScope::Configuration);
    CHECK(fixture.replies.empty());
    fixture.handler.answerDue(Start + 800ms, FollowRpcHandler::UpdateScope::Configuration);
    CHECK(fixture.replies.size() == 1);
    fixture.handler.close();
    fixture.follow(fixture.upToDateRequest("ravne"));
    CHECK(fixture.replies.size() == 2);
}

TEST_CASE("a new host is redirected to a control host of its own failure domain before it gets any update")
{
    Fixture fixture;
    fixture.addTarget("t1");
    fixture.follow(Fixture::firstRequest("mezica"));
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].redirected());
    CHECK(fixture.replies[0].control_hosts_size() == 2);
    CHECK(fixture.replies[0].targets().empty());
}

TEST_CASE("a new host is not redirected if no other control host is in its failure domain, or if it asks to stay")
{
    Fixture fixture;
    fixture.addTarget("t1");
    fixture.follow(Fixture::firstRequest("dravograd"));
    auto request = Fixture::firstRequest("mezica");
    request.set_stays(true);
    fixture.follow(request);
    fixture.follow(Fixture::firstRequest("ravne"));
    REQUIRE(fixture.replies.size() == 3);
    for (const auto &reply : fixture.replies) {
        CHECK_FALSE(reply.redirected());
        CHECK(reply.targets_size() == 1);
    }
}

TEST_CASE("without confirmation by a quorum, calls of entry hosts are answered as unconfirmed and calls of peers stay "
          "pending")
{
    Fixture fixture;
    fixture.handler.recordConfirmation({}, Start);
    fixture.follow(fixture.upToDateRequest("ravne"));
    auto peer = fixture.upToDateRequest("ravne");
    peer.set_peer(true);
    peer.set_hold_ms(60000);
    fixture.follow(peer);
    fixture.handler.answerDue(Start + 700ms, FollowRpcHandler::UpdateScope::All);
    CHECK(fixture.replies.empty());
    fixture.handler.answerDue(Start + 2001ms, FollowRpcHandler::UpdateScope::Configuration);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].unconfirmed());
    fixture.handler.recordConfirmation({}, Start + 2100ms);
    fixture.follow(fixture.upToDateRequest("ravne"));
    CHECK(fixture.replies.size() == 1);
}

TEST_CASE("confirmed calls are answered when confirmations begin to fail, and the others when they succeed again")
{
    Fixture fixture;
    fixture.followNumbered(1);
    fixture.confirmReceived(Start + 100ms);
    CHECK(fixture.replies.empty());
    fixture.handler.recordFailedConfirmation(Start + 400ms);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].confirmed_ask() == 1);
    fixture.followNumbered(2);
    fixture.handler.recordFailedConfirmation(Start + 500ms);
    CHECK(fixture.replies.size() == 1);
    CHECK(fixture.handler.isConfirmationFailing());
    fixture.confirmReceived(Start + 600ms);
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies[1].confirmed_ask() == 2);
    CHECK_FALSE(fixture.replies[1].unconfirmed());
    CHECK_FALSE(fixture.handler.isConfirmationFailing());
}

TEST_CASE("while confirmations succeed, a confirmed call stays pending for its hold time")
{
    Fixture fixture;
    fixture.followNumbered(1);
    fixture.confirmReceived(Start + 100ms);
    fixture.confirmReceived(Start + 400ms);
    CHECK(fixture.replies.empty());
}

TEST_CASE("a call that awaits its confirmation is answered as soon as it is confirmed, and no other call is")
{
    Fixture fixture;
    fixture.followNumbered(1);
    CHECK_FALSE(fixture.handler.hasCallAwaitingConfirmation());
    auto request = fixture.upToDateRequest("ravne");
    request.mutable_host()->set_id("e2");
    request.set_ask(7);
    request.set_awaits_confirmation(true);
    const auto earlier = fixture.handler.receivedCalls();
    fixture.follow(request);
    CHECK(fixture.handler.hasCallAwaitingConfirmation());
    fixture.handler.recordConfirmation(earlier, Start + 50ms);
    CHECK(fixture.replies.empty());
    fixture.confirmReceived(Start + 100ms);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].confirmed_ask() == 7);
    CHECK_FALSE(fixture.handler.hasCallAwaitingConfirmation());
}

// Guards against a host that stays out of service after its start because it waits at a control host that is cut off.
TEST_CASE(
    "a host that can't act without a confirmation is sent away while confirmations fail, once it has a configuration")
{
    Fixture fixture;
    fixture.handler.recordConfirmation({}, Start);
    fixture.handler.recordFailedConfirmation(Start + 10ms);
    auto request = fixture.upToDateRequest("ravne");
    request.set_ask(1);
    request.set_awaits_confirmation(true);
    fixture.follow(request);
    CHECK(fixture.replies.empty());
    fixture.activeConfiguration->revision = 1;
    request.set_revision(1);
    fixture.follow(request);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].unconfirmed());
    request.set_awaits_confirmation(false);
    fixture.follow(request);
    CHECK(fixture.replies.size() == 1);
}

TEST_CASE("a reply tells other control hosts, and only those, whether this host's knowledge of targets is complete")
{
    Fixture fixture;
    auto peer = Fixture::firstRequest("mezica");
    peer.set_peer(true);
    fixture.addTarget("t1");
    fixture.follow(peer);
    fixture.isTargetKnowledgeComplete = true;
    fixture.follow(peer);
    fixture.follow(Fixture::firstRequest("ravne"));
    REQUIRE(fixture.replies.size() == 3);
    CHECK_FALSE(fixture.replies[0].targets_complete());
    CHECK(fixture.replies[1].targets_complete());
    CHECK_FALSE(fixture.replies[2].targets_complete());
}
