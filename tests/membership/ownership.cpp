#include "membership/ownership.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace pimentoshed;
using namespace std::chrono_literals;
using membership::Member;
using membership::OwnershipCoordinator;
using membership::OwnershipParticipant;

namespace
{

const core::TimePoint Start{};
constexpr core::Duration Length = 3s;
constexpr core::Duration Lapsed = 4s;
const core::FailureDomain Ravne("ravne");
const Member A{core::HostId("a"), 1, Ravne};
const Member B{core::HostId("b"), 1, Ravne};

/** A target that @p first owns where it is a member, and else @p second. */
core::TargetId ownedBy(const Member &first, const Member &second)
{
    for (unsigned i = 0;; ++i) {
        core::TargetId id("t" + std::to_string(i));
        if (*membership::ownerOf({1, {first, second}}, id, Ravne) == first) {
            return id;
        }
    }
}

/** Two hosts and a coordinator whose messages arrive at once. */
struct System {
    OwnershipCoordinator coordinator{{1, {A, B}}, {}, Start, Length};
    OwnershipParticipant a{A.id, A.incarnation};
    OwnershipParticipant b{B.id, B.incarnation};
    core::TargetId target = ownedBy(A, B);

    void poll(OwnershipParticipant &host, const Member &member, core::TimePoint now)
    {
        host.addView(coordinator.view());
        coordinator.recordPoll(member, host.acknowledged(), now);
        host.confirm(now, now, Length);
        if (const auto settled = coordinator.settled(now)) {
            host.settle(*settled);
        }
    }
    void pollBoth(core::TimePoint now)
    {
        poll(a, A, now);
        poll(b, B, now);
        poll(a, A, now);
    }
    bool aOwns(core::TimePoint now) const
    {
        return a.owns(target, Ravne, now, Length);
    }
    bool bOwns(core::TimePoint now) const
    {
        return b.owns(target, Ravne, now, Length);
    }
};

} // namespace

TEST_CASE("owners are of the target's domain and spread over it")
{
    membership::OwnershipView view{1, {}};
    for (unsigned i = 0; i < 6; ++i) {
        view.members.push_back({core::HostId("h" + std::to_string(i)), 1, Ravne});
    }
    view.members.push_back({core::HostId("far"), 1, core::FailureDomain("mezica")});
    std::map<core::HostId, unsigned> counts;
    for (unsigned i = 0; i < 600; ++i) {
        ++counts[membership::ownerOf(view, core::TargetId("t" + std::to_string(i)), Ravne)->id];
    }
    CHECK(counts.size() == 6);
    for (const auto &[id, count] : counts) {
        CHECK(count > 60);
        CHECK(count < 160);
    }
    CHECK(membership::ownerOf(view, core::TargetId("t"), core::FailureDomain("none")) != nullptr);
    CHECK(membership::ownerOf({}, core::TargetId("t"), Ravne) == nullptr);
}

TEST_CASE("a host owns nothing before every host has acknowledged the view")
{
    System system;
    system.poll(system.a, A, Start);
    CHECK_FALSE(system.aOwns(Start));
    system.pollBoth(Start);
    CHECK(system.aOwns(Start));
    CHECK_FALSE(system.bOwns(Start));
}

TEST_CASE("when an owner dies, the next one waits until its permission has lapsed")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.poll(system.b, B, Start + 1s);
    CHECK_FALSE(system.bOwns(Start + 1s));
    system.poll(system.b, B, Start + Lapsed);
    CHECK(system.bOwns(Start + Lapsed));
}

TEST_CASE("an owner that froze owns nothing when it wakes, also where a later view names it again")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.poll(system.b, B, Start + Lapsed);
    REQUIRE(system.bOwns(Start + Lapsed));
    CHECK_FALSE(system.aOwns(Start + Lapsed));
    // It never learned of the view without it.
    system.coordinator.propose({A, B});
    system.poll(system.a, A, Start + Lapsed);
    CHECK_FALSE(system.aOwns(Start + Lapsed));
    system.poll(system.b, B, Start + Lapsed);
    CHECK_FALSE(system.bOwns(Start + Lapsed));
    system.poll(system.a, A, Start + Lapsed);
    CHECK(system.aOwns(Start + Lapsed));
}

TEST_CASE("a host that stops hands over as soon as it says that it sends nothing more")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.coordinator.removeMember(A);
    system.poll(system.b, B, Start);
    CHECK(system.bOwns(Start));
}

TEST_CASE("hosts with different views never own a target both")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.poll(system.b, B, Start + 1s);
    CHECK(system.aOwns(Start + 1s));
    CHECK_FALSE(system.bOwns(Start + 1s));
    system.poll(system.a, A, Start + 1s);
    CHECK_FALSE(system.aOwns(Start + 1s));
    system.poll(system.b, B, Start + 1s);
    CHECK(system.bOwns(Start + 1s));
}

TEST_CASE("a restarted host is another member")
{
    System system;
    system.pollBoth(Start);
    const Member restarted{A.id, 2, Ravne};
    OwnershipParticipant process(restarted.id, restarted.incarnation);
    system.poll(process, restarted, Start);
    CHECK_FALSE(process.owns(system.target, Ravne, Start, Length));
    system.coordinator.propose({restarted, B});
    system.poll(system.b, B, Start + Lapsed);
    system.poll(process, restarted, Start + Lapsed);
    system.poll(process, restarted, Start + Lapsed);
    CHECK(process.owns(system.target, Ravne, Start + Lapsed, Length));
}

TEST_CASE("a new leader counts everybody who may act as heard at its start")
{
    System system;
    system.pollBoth(Start);
    OwnershipCoordinator next(system.coordinator.view(), system.coordinator.acting(Start), Start + 1s, Length);
    next.propose({B});
    next.recordPoll(B, 2, Start + Lapsed);
    CHECK_FALSE(next.settled(Start + Lapsed));
    CHECK(next.settled(Start + 1s + Lapsed) == 2U);
}
