#include "membership/targetknowledge.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using membership::TargetKnowledge;

namespace
{

const core::TimePoint Start{};
constexpr auto Lease = 4500ms;
const core::HostId Peer("c2");
const core::HostId OtherPeer("c3");

/** Knowledge of a host that started at Start, with two peers. */
struct Fixture {
    Fixture()
    {
        knowledge.start(Start);
        knowledge.setPeers({Peer, OtherPeer}, Start);
    }

    /** Records that @p peer has replied to a call at @p callTime, with all of its targets. */
    void recordAll(const core::HostId &peer, core::TimePoint callTime, bool isPeerComplete)
    {
        knowledge.recordUpdate(peer, {callTime, true, isPeerComplete});
    }

    TargetKnowledge knowledge;
};

} // namespace

// Guards against hosts that restart together and take each other's empty tables for complete ones.
TEST_CASE("updates of peers that know as little don't make a host's knowledge of targets complete")
{
    Fixture fixture;
    fixture.recordAll(Peer, Start, false);
    fixture.recordAll(OtherPeer, Start, false);
    CHECK_FALSE(fixture.knowledge.isComplete(Start + 100ms, Lease));
    CHECK_FALSE(fixture.knowledge.isCurrent(Start + 100ms, Lease));
}

TEST_CASE("knowledge of targets is complete with all targets of a peer whose knowledge is complete")
{
    Fixture fixture;
    fixture.recordAll(Peer, Start, true);
    CHECK(fixture.knowledge.isComplete(Start + 100ms, Lease));
    CHECK_FALSE(fixture.knowledge.isCurrent(Start + 100ms, Lease));
    fixture.recordAll(OtherPeer, Start, false);
    CHECK(fixture.knowledge.isCurrent(Start + 100ms, Lease));
}

TEST_CASE("changes alone of a peer whose knowledge is complete don't make a host's knowledge of targets complete")
{
    Fixture fixture;
    fixture.knowledge.recordUpdate(Peer, {Start, false, true});
    CHECK_FALSE(fixture.knowledge.isComplete(Start + 100ms, Lease));
}

TEST_CASE("knowledge of targets is complete after a lease, in which every target has announced itself again")
{
    Fixture fixture;
    CHECK_FALSE(fixture.knowledge.isComplete(Start + Lease - 1ms, Lease));
    CHECK(fixture.knowledge.isComplete(Start + Lease, Lease));
}

// Guards against replies that wait in a buffer while the host is frozen, and seem to be new when it goes on.
TEST_CASE("a reply covers what the peer knew when the call was made, not when the reply is read")
{
    Fixture fixture;
    fixture.recordAll(Peer, Start, true);
    fixture.recordAll(OtherPeer, Start, true);
    CHECK(fixture.knowledge.isCurrent(Start + 2s, Lease));
    CHECK_FALSE(fixture.knowledge.isCurrent(Start + 3s, Lease));
}

TEST_CASE("a peer that has been out of contact for a lease can't know a later incarnation of a target that serves")
{
    Fixture fixture;
    fixture.recordAll(Peer, Start, true);
    CHECK_FALSE(fixture.knowledge.isCurrent(Start + Lease - 1ms, Lease));
    fixture.recordAll(Peer, Start + Lease, true);
    CHECK(fixture.knowledge.isCurrent(Start + Lease, Lease));
}

TEST_CASE("a new peer counts as out of contact since it was added, and a removed one no longer counts")
{
    Fixture fixture;
    const auto later = Start + 10s;
    const core::HostId added("c4");
    fixture.recordAll(Peer, later, true);
    fixture.knowledge.setPeers({Peer, added}, later);
    CHECK_FALSE(fixture.knowledge.isCurrent(later, Lease));
    fixture.recordAll(OtherPeer, later, true);
    CHECK_FALSE(fixture.knowledge.isCurrent(later, Lease));
    fixture.recordAll(added, later, false);
    CHECK(fixture.knowledge.isCurrent(later, Lease));
}
