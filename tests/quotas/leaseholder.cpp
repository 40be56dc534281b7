#include "quotas/leaseholder.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::quotas;
using namespace std::chrono_literals;

namespace
{

const core::Error Lost{core::ErrorCode::PeerUnreachable, "lost"};

class Fixture
{
protected:
    Fixture()
    {
        workspace.name = core::WorkspaceName("bakery");
        workspace.requestsPerSecond = 10;
        workspace.burst = 10;
        holder.setHosts({core::HostId("a")});
        now += ReservePeriod;
    }

    void spend(unsigned requests = 1)
    {
        for (unsigned request = 0; request < requests; ++request) {
            holder.spend(workspace, now + 100ms, [this](const Decision &decision) {
                decisions.push_back(decision);
            });
        }
    }

    void answer(unsigned requests, core::Duration retryAfter = {})
    {
        holder.receive(calls.back().number, LeaseAnswer{{{workspace.name, requests, LongLifetime, retryAfter}}});
    }

    std::size_t count(Verdict verdict) const
    {
        return static_cast<std::size_t>(
            std::count_if(decisions.begin(), decisions.end(), [verdict](const Decision &decision) {
                return decision.verdict == verdict;
            }));
    }

    core::TimePoint now{1h};
    configuration::Workspace workspace;
    std::vector<LeaseCall> calls;
    std::vector<Decision> decisions;
    std::vector<core::WorkspaceName> logged;
    LeaseHolder holder{{core::HostId("a"),
                        100,
                        [this]() {
                            return now;
                        },
                        [this](const LeaseCall &call) {
                            calls.push_back(call);
                        },
                        [this](const core::WorkspaceName &name, core::Duration) {
                            logged.push_back(name);
                        }}};
};

} // namespace

TEST_CASE_METHOD(Fixture, "A workspace without a limit makes no call", "[quotas]")
{
    workspace.requestsPerSecond = 0;
    spend(3);
    CHECK(count(Verdict::Admitted) == 3);
    CHECK(calls.empty());
    CHECK(!holder.needsTick());
}

TEST_CASE_METHOD(Fixture, "Requests wait for one call at a time", "[quotas]")
{
    spend(2);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].number == 100);
    CHECK(calls[0].asks[0].waiting == 1);
    CHECK(decisions.empty());
    answer(1);
    CHECK(count(Verdict::Admitted) == 1);
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].asks[0].waiting == 1);
    answer(0, 300ms);
    REQUIRE(count(Verdict::OverQuota) == 1);
    CHECK(decisions.back().retryAfter == 300ms);
}

TEST_CASE_METHOD(Fixture, "After a refusal others are refused without a call, and logged once", "[quotas]")
{
    spend();
    answer(0, 10s);
    now += 100ms;
    spend(5);
    CHECK(count(Verdict::OverQuota) == 6);
    CHECK(decisions.back().retryAfter == 9900ms);
    CHECK(calls.size() == 1);
    CHECK(logged.size() == 1);
    now += 200ms;
    spend();
    CHECK(calls.size() == 2);
}

TEST_CASE_METHOD(Fixture, "A host with several requests per second asks in advance", "[quotas]")
{
    spend(8);
    answer(1);
    CHECK(calls[1].asks[0].waiting == 7);
    CHECK(calls[1].asks[0].ahead > 0);
    answer(10);
    CHECK(count(Verdict::Admitted) == 8);
    const auto made = calls.size();
    spend(2);
    CHECK(count(Verdict::Admitted) == 10);
    CHECK(calls.size() == made);
}

TEST_CASE_METHOD(Fixture, "A lease counts from the call, and what is unused goes back before its end", "[quotas]")
{
    spend();
    now += 50ms;
    answer(3);
    CHECK(decisions[0].token.validUntil == now - 50ms + LongLifetime);
    now += LongLifetime - 150ms;
    holder.tick();
    REQUIRE(calls.size() == 2);
    REQUIRE(calls[1].returns.size() == 1);
    CHECK(calls[1].returns[0].call == 100);
    CHECK(calls[1].returns[0].requests == 2);
    answer(0);
    spend();
    CHECK(calls.size() == 3);
}

TEST_CASE_METHOD(Fixture, "A token that is given back serves another request while its lease lasts", "[quotas]")
{
    spend();
    answer(1);
    holder.giveBack(workspace, decisions[0].token);
    holder.giveBack(workspace, decisions[0].token);
    spend(2);
    CHECK(count(Verdict::Admitted) == 2);
    now += LongLifetime;
    holder.giveBack(workspace, decisions[0].token);
    spend();
    CHECK(count(Verdict::Admitted) == 2);
}

TEST_CASE_METHOD(Fixture, "A lost call is repeated; then the reserve is sent, and the rest is refused", "[quotas]")
{
    spend();
    holder.receive(calls.back().number, Lost);
    CHECK(decisions.empty());
    now += 30ms;
    holder.tick();
    REQUIRE(calls.size() == 2);
    holder.receive(calls.back().number, LeaseAnswer{});
    now += 100ms;
    holder.tick();
    CHECK(count(Verdict::Admitted) == 1);
    spend();
    REQUIRE(calls.size() == 3);
    holder.receive(calls.back().number, Lost);
    spend(99);
    CHECK(count(Verdict::Admitted) == reserve({10, 10}));
    CHECK(count(Verdict::Unknown) == 101 - reserve({10, 10}));
    CHECK(decisions.size() == 101);
    now += 1s;
    spend();
    CHECK(decisions.size() == 102);
    answer(1);
    spend(2);
    answer(1);
    CHECK(count(Verdict::Admitted) == reserve({10, 10}) + 2);
}

TEST_CASE_METHOD(Fixture, "An answer that comes too late to be used admits nothing from its lease", "[quotas]")
{
    holder.setHosts({});
    spend();
    now += LongLifetime + 1ms;
    answer(1);
    CHECK(count(Verdict::Unknown) == 1);
}
