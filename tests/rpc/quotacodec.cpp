#include "rpc/quotacodec.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;

TEST_CASE("Lease calls and answers survive encoding", "[quotas]")
{
    const core::WorkspaceName bakery("bakery");
    const auto call =
        rpc::decode(rpc::encode(quotas::LeaseCall{core::HostId("e1"), 7, {{bakery, 2, 3}}, {{bakery, 6, 4}}}));
    CHECK(call.host == core::HostId("e1"));
    CHECK(call.number == 7);
    REQUIRE(call.asks.size() == 1);
    CHECK(call.asks[0].waiting == 2);
    CHECK(call.asks[0].ahead == 3);
    REQUIRE(call.returns.size() == 1);
    CHECK(call.returns[0].call == 6);
    CHECK(call.returns[0].requests == 4);

    const auto answer = rpc::decode(rpc::encode(quotas::LeaseAnswer({{bakery, 5, 250900us, 40100us}})));
    REQUIRE(answer);
    CHECK(answer->front().requests == 5);
    CHECK(answer->front().lifetime == 250ms);
    CHECK(answer->front().retryAfter == 41ms);
    CHECK(!rpc::decode(rpc::encode(quotas::LeaseAnswer())));
}
