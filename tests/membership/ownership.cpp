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
constexpr core::Duration PermissionLength = 3s;
constexpr core::Duration AfterPermission = 4s;
const core::FailureDomain Ravne("ravne");
const Member A{core::HostId("a"), 1, Ravne};
const Member B{core::HostId("b"), 1, Ravne};

/** Returns a target that @p first owns in a view with both members. In a view of @p second alone, @p second owns it. */
core::TargetId ownedBy(const Member &first, const Member &second)
{
    for (unsigned i = 0;; ++i) {
        core::TargetId id("t" + std::to_string(i));
        if (*membership::ownerOf({1, {first, second}}, id, Ravne) == first) {
            return id;
        }
    }
}

/** Two hosts and a coordinator whose messages are delivered without delay. */
struct System {
    OwnershipCoordinator coordinator{{1, {A, B}}, {}, Start, PermissionLength};
    OwnershipParticipant a{A.id, A.incarnation};
    OwnershipParticipant b{B.id, B.incarnation};
    core::TargetId target = ownedBy(A, B);

    void poll(OwnershipParticipant &host, const Member &member, core::TimePoint now)
    {
        host.addView(coordinator.view());
        coordinator.recordPoll(member, host.acknowledged(), now);
        host.confirm(now, now, PermissionLength);
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
        return a.owns(target, Ravne, now, PermissionLength);
    }
    bool bOwns(core::TimePoint now) const
    {
        return b.owns(target, Ravne, now, PermissionLength);
    }
};

} // namespace

TEST_CASE("owners are members of the target's domain, and targets are spread evenly over them")
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

TEST_CASE("a host owns no target before every host has acknowledged the view")
{
    System system;
    system.poll(system.a, A, Start);
    CHECK_FALSE(system.aOwns(Start));
    system.pollBoth(Start);
    CHECK(system.aOwns(Start));
    CHECK_FALSE(system.bOwns(Start));
}

TEST_CASE("after an owner fails, the next owner sends nothing until the failed owner's permission has ended")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.poll(system.b, B, Start + 1s);
    CHECK_FALSE(system.bOwns(Start + 1s));
    system.poll(system.b, B, Start + AfterPermission);
    CHECK(system.bOwns(Start + AfterPermission));
}

TEST_CASE("an owner that resumes after a freeze owns nothing, even if a later view includes it again")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.poll(system.b, B, Start + AfterPermission);
    REQUIRE(system.bOwns(Start + AfterPermission));
    CHECK_FALSE(system.aOwns(Start + AfterPermission));
    // The frozen host never received the view that excluded it.
    system.coordinator.propose({A, B});
    system.poll(system.a, A, Start + AfterPermission);
    CHECK_FALSE(system.aOwns(Start + AfterPermission));
    system.poll(system.b, B, Start + AfterPermission);
    CHECK_FALSE(system.bOwns(Start + AfterPermission));
    system.poll(system.a, A, Start + AfterPermission);
    CHECK(system.aOwns(Start + AfterPermission));
}

TEST_CASE("a target of a host that has stopped passes to the next owner at once")
{
    System system;
    system.pollBoth(Start);
    system.coordinator.propose({B});
    system.coordinator.removeMember(A);
    system.poll(system.b, B, Start);
    CHECK(system.bOwns(Start));
}

TEST_CASE("two hosts with different views never own the same target at once")
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

TEST_CASE("a restarted host is a different member, which owns nothing until its view is settled")
{
    System system;
    system.pollBoth(Start);
    const Member restarted{A.id, 2, Ravne};
    OwnershipParticipant process(restarted.id, restarted.incarnation);
    system.poll(process, restarted, Start);
    CHECK_FALSE(process.owns(system.target, Ravne, Start, PermissionLength));
    system.coordinator.propose({restarted, B});
    system.poll(system.b, B, Start + AfterPermission);
    system.poll(process, restarted, Start + AfterPermission);
    system.poll(process, restarted, Start + AfterPermission);
    CHECK(process.owns(system.target, Ravne, Start + AfterPermission, PermissionLength));
}

TEST_CASE("a new leader counts every member that may still send as having polled at the leader's start")
{
    System system;
    system.pollBoth(Start);
    OwnershipCoordinator next(
        system.coordinator.view(), system.coordinator.activeMembers(Start), Start + 1s, PermissionLength);
    next.propose({B});
    next.recordPoll(B, 2, Start + AfterPermission);
    CHECK_FALSE(next.settled(Start + AfterPermission));
    CHECK(next.settled(Start + 1s + AfterPermission) == 2U);
}
