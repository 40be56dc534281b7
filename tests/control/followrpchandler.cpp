#include "control/followrpchandler.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using control::FollowRpcHandler;

namespace
{

const core::TimePoint Start{};
constexpr std::uint64_t FeedId = 7;

/** A desk in ravne that knows control hosts in ravne and mezica, and the replies it gave. */
struct Fixture {
    std::shared_ptr<changes::ActiveConfiguration> standing = std::make_shared<changes::ActiveConfiguration>();
    membership::MembershipFeed hub;
    FollowRpcHandler desk{{[this]() {
                               return standing;
                           },
                           hub,
                           core::FailureDomain("ravne"),
                           FeedId,
                           []() {
                               return std::vector<membership::ControlHost>{
                                   {core::HostId("c1"), "127.0.0.1:1", core::FailureDomain("ravne")},
                                   {core::HostId("c2"), "127.0.0.2:1", core::FailureDomain("mezica")}};
                           }}};
    std::vector<rpc::FollowReply> replies;

    void ask(const rpc::FollowRequest &request)
    {
        desk.take(
            request,
            [this](const rpc::FollowReply &reply) {
                replies.push_back(reply);
            },
            Start);
    }

    /** A call of a host that has heard everything. */
    rpc::FollowRequest followed(const std::string &domain) const
    {
        auto request = newcomer(domain);
        request.set_feed_id(FeedId);
        request.set_feed_position(hub.position(membership::SubscriberKind::EntryHosts));
        return request;
    }

    static rpc::FollowRequest newcomer(const std::string &domain)
    {
        rpc::FollowRequest request;
        request.mutable_host()->set_id("e1");
        request.mutable_host()->set_domain(domain);
        request.set_hold_ms(800);
        return request;
    }

    void learnTarget(const std::string &id)
    {
        targets::Target target;
        target.id = core::TargetId(id);
        hub.updateTarget(target);
    }
};

} // namespace

TEST_CASE("news of targets is told together, a new standing at once")
{
    Fixture fixture;
    fixture.ask(fixture.followed("ravne"));
    fixture.learnTarget("t1");
    fixture.learnTarget("t2");
    fixture.desk.serve(Start, FollowRpcHandler::UpdateScope::Standing);
    CHECK(fixture.replies.empty());
    fixture.desk.serve(Start, FollowRpcHandler::UpdateScope::All);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].targets_size() == 2);
    fixture.ask(fixture.followed("ravne"));
    fixture.standing->revision = 5;
    fixture.desk.serve(Start, FollowRpcHandler::UpdateScope::Standing);
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies[1].revision() == 5);
}

TEST_CASE("a call is not held longer than it asks, and none once the desk is closed")
{
    Fixture fixture;
    fixture.ask(fixture.followed("ravne"));
    fixture.desk.serve(Start + 799ms, FollowRpcHandler::UpdateScope::Standing);
    CHECK(fixture.replies.empty());
    fixture.desk.serve(Start + 800ms, FollowRpcHandler::UpdateScope::Standing);
    CHECK(fixture.replies.size() == 1);
    fixture.desk.close();
    fixture.ask(fixture.followed("ravne"));
    CHECK(fixture.replies.size() == 2);
}

TEST_CASE("a newcomer is led to a control host of its own failure domain before it is told anything")
{
    Fixture fixture;
    fixture.learnTarget("t1");
    fixture.ask(Fixture::newcomer("mezica"));
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].redirected());
    CHECK(fixture.replies[0].control_hosts_size() == 2);
    CHECK(fixture.replies[0].targets().empty());
}

TEST_CASE("who has no nearer control host, or one that fails, is served where it asks")
{
    Fixture fixture;
    fixture.learnTarget("t1");
    fixture.ask(Fixture::newcomer("dravograd"));
    auto request = Fixture::newcomer("mezica");
    request.set_stays(true);
    fixture.ask(request);
    fixture.ask(Fixture::newcomer("ravne"));
    REQUIRE(fixture.replies.size() == 3);
    for (const auto &reply : fixture.replies) {
        CHECK_FALSE(reply.redirected());
        CHECK(reply.targets_size() == 1);
    }
}

TEST_CASE("entry hosts are sent to another control host where no quorum confirms this one, its peers are not")
{
    Fixture fixture;
    fixture.desk.confirm({}, Start);
    fixture.ask(fixture.followed("ravne"));
    auto peer = fixture.followed("ravne");
    peer.set_peer(true);
    peer.set_hold_ms(60000);
    fixture.ask(peer);
    fixture.desk.serve(Start + 700ms, FollowRpcHandler::UpdateScope::All);
    CHECK(fixture.replies.empty());
    fixture.desk.serve(Start + 2001ms, FollowRpcHandler::UpdateScope::Standing);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].unconfirmed());
    fixture.desk.confirm({}, Start + 2100ms);
    fixture.ask(fixture.followed("ravne"));
    CHECK(fixture.replies.size() == 1);
}
