#include "control/leaserpchandler.h"

#include "rpc/quotacodec.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using control::LeaseRpcHandler;

namespace
{

/** A control host that has been the certain leader for a minute, with one limited workspace. */
struct Fixture {
    Fixture()
    {
        auto configuration = std::make_shared<configuration::Configuration>();
        configuration->workspaces.push_back({core::WorkspaceName("bakery"), {}, {}, 10, 10});
        active->configuration = configuration;
        status.role = consensus::Role::Leader;
        status.self.host = core::HostId("c1");
        status.leader = status.self;
        status.term = consensus::Term(3);
        status.isTermCommitted = true;
        status.quorumContact = now;
        handler.tick();
        passTime(60s);
    }

    /** Lets time pass while a quorum keeps confirming the leader. */
    void passTime(core::Duration duration)
    {
        now += duration;
        status.quorumContact = now;
    }

    rpc::LeaseReply ask(unsigned waiting, bool isForwarded = false)
    {
        auto request = rpc::encode(
            quotas::LeaseCall{core::HostId("e1"), ++lastCall, {{core::WorkspaceName("bakery"), waiting, 0}}, {}});
        request.set_forwarded(isForwarded);
        std::vector<rpc::LeaseReply> replies;
        handler.handle(request, [&replies](const rpc::LeaseReply &reply) {
            replies.push_back(reply);
        });
        return replies.empty() ? rpc::LeaseReply() : replies.front();
    }

    core::TimePoint now{1h};
    consensus::ReplicaStatus status;
    std::shared_ptr<changes::ActiveConfiguration> active = std::make_shared<changes::ActiveConfiguration>();
    std::vector<core::HostId> forwardedTo;
    quotas::CallNumber lastCall = 0;
    LeaseRpcHandler handler{
        {[this]() {
             return status;
         },
         [this]() {
             return active;
         },
         [this](const core::HostId &host, const rpc::LeaseRequest &request, const rpc::Responder<rpc::LeaseReply> &) {
             CHECK(request.forwarded());
             forwardedTo.push_back(host);
             return true;
         },
         [this]() {
             return now;
         }}};
};

} // namespace

TEST_CASE_METHOD(Fixture, "A certain leader answers lease calls", "[quotas]")
{
    const auto reply = ask(4);
    REQUIRE(reply.answered());
    CHECK(reply.grants(0).requests() == 4);
    CHECK(reply.grants(0).lifetime_ms() > 0);
}

TEST_CASE_METHOD(Fixture, "A leader that a quorum has not confirmed of late grants nothing", "[quotas]")
{
    now += 299ms;
    CHECK(ask(1).answered());
    now += 2ms;
    CHECK(!ask(1).answered());
    passTime(0s);
    status.isTermCommitted = false;
    CHECK(!ask(1).answered());
}

TEST_CASE_METHOD(Fixture, "A host that becomes the leader again starts anew", "[quotas]")
{
    status.term = consensus::Term(5);
    handler.tick();
    const auto reply = ask(1);
    CHECK(reply.grants(0).requests() == 0);
    CHECK(reply.grants(0).retry_after_ms() == 0);
    passTime(1s);
    CHECK(ask(1).grants(0).requests() == 1);
}

TEST_CASE_METHOD(Fixture, "Another control host passes a call on once", "[quotas]")
{
    status.role = consensus::Role::Follower;
    status.leader = consensus::MemberId{core::HostId("c2"), {}};
    ask(1);
    REQUIRE(forwardedTo.size() == 1);
    CHECK(forwardedTo[0] == core::HostId("c2"));
    CHECK(!ask(1, true).answered());
    CHECK(forwardedTo.size() == 1);
    status.leader.reset();
    CHECK(!ask(1).answered());
}

TEST_CASE_METHOD(Fixture, "The limits are those of the configuration in force", "[quotas]")
{
    auto changed = std::make_shared<configuration::Configuration>(*active->configuration);
    changed->workspaces[0].requestsPerSecond = 0;
    active->configuration = changed;
    CHECK(ask(1000).grants(0).requests() == 1000);
    active->configuration = nullptr;
    CHECK(!ask(1).answered());
}

TEST_CASE_METHOD(Fixture, "Operators see grants and refusals by workspace", "[quotas]")
{
    ask(1000);
    telemetry::Registry metrics;
    handler.updateMetrics(metrics);
    const auto text = metrics.expose();
    CHECK(text.find("pimentoshed_quota_leased{workspace=\"bakery\"}") != std::string::npos);
    CHECK(text.find("pimentoshed_quota_refused_total{workspace=\"bakery\"}") != std::string::npos);
}
