#include "consensus/replica.h"

#include "consensus/cluster.h"
#include "consensus/memberchange.h"
#include "consensus/outbox.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::consensus;
using consensus::testing::Cluster;
using core::ErrorCode;

namespace
{

constexpr auto Long = std::chrono::seconds(10);
const MemberId A{core::HostId("a"), DiskId("1")};
const MemberId B{core::HostId("b"), DiskId("1")};
const MemberId C{core::HostId("c"), DiskId("1")};
const core::TimePoint Start;

Replica::Builder builder(std::vector<MemberId> voters)
{
    Replica::Builder builder;
    builder.self(A).initialMembers({std::move(voters), {}, {}}).random(core::seededRandom(1));
    return builder;
}

Replica build(const Replica::Builder &builder)
{
    auto built = builder.build(Start);
    REQUIRE(core::ok(built));
    return std::move(core::value(built));
}

ErrorCode codeOf(const core::Result<EntryId> &result)
{
    REQUIRE(!core::ok(result));
    return core::error(result).code;
}

Cluster settledPool(std::size_t size)
{
    Cluster pool(size, 1, Timing());
    pool.run(Long);
    REQUIRE(pool.leader() != nullptr);
    return pool;
}

testing::Host &follower(Cluster &pool)
{
    return &pool.hosts[0] == pool.leader() ? pool.hosts[1] : pool.hosts[0];
}

/** A leader of term 2 whose log holds one uncommitted entry of term 1. */
Replica leaderOverOldEntry()
{
    const Entry old{{LogIndex(1), Term(1)}, EntryKind::Change, "old", {}};
    auto replica = build(builder({A, B, C}).hardState({Term(1), {}}).entries({old}));
    const auto later = Start + Long;
    replica.tick(later);
    replica.receive({B, A, PreVoteReply{Term(1), Term(2), true}}, later);
    replica.persisted(replica.takeEffects().batch, later);
    replica.receive({B, A, VoteReply{Term(2), true}}, later);
    replica.persisted(replica.takeEffects().batch, later);
    REQUIRE(replica.status().role == Role::Leader);
    return replica;
}

MembersChange replaceDisk(Cluster &pool, testing::Host &host)
{
    MembersChange change;
    change.leaving = host.id;
    pool.loseDisk(host);
    change.joining = host.id;
    return change;
}

core::Result<EntryId> change(Cluster &pool, const MembersChange &wanted)
{
    auto &leader = *pool.leader();
    auto result = leader.replica->changeMembers(wanted, pool.now);
    pool.flush(leader);
    return result;
}

} // namespace

TEST_CASE("a member that returns from isolation does not disturb the leader")
{
    auto pool = settledPool(3);
    auto *leader = pool.leader();
    const auto term = leader->replica->status().term;
    auto &cut = follower(pool);
    pool.isolate(cut, true);
    pool.run(Long);
    CHECK(cut.replica->status().term == term);
    pool.isolate(cut, false);
    pool.run(Long);
    CHECK(pool.leader() == leader);
    CHECK(leader->replica->status().term == term);
}

TEST_CASE("an isolated leader fails its reads and then refuses proposals for want of a quorum")
{
    auto pool = settledPool(3);
    auto &leader = *pool.leader();
    pool.isolate(leader, true);
    CHECK(pool.read(leader));
    CHECK(pool.propose(leader));
    pool.run(Long);
    CHECK(leader.reads.empty());
    CHECK(pool.confirmedReads == 0);
    CHECK(pool.acknowledged.empty());
    CHECK(codeOf(leader.replica->propose("late", pool.now)) == ErrorCode::NoQuorum);
}

TEST_CASE("a leader that thaws resigns before it does anything else")
{
    auto pool = settledPool(3);
    auto &leader = *pool.leader();
    leader.replica->tick(pool.now + Long);
    CHECK(leader.replica->status().role == Role::Follower);
}

TEST_CASE("an old acknowledgement does not keep a leader in office")
{
    auto replica = leaderOverOldEntry();
    const auto elected = Start + Long;
    const auto thaw = elected + std::chrono::milliseconds(900);
    replica.tick(thaw);
    replica.receive({B, A, AppendReply{Term(2), Round(1), LogIndex(2), {}}}, thaw);
    replica.tick(elected + std::chrono::milliseconds(1100));
    CHECK(replica.status().role == Role::Follower);
}

TEST_CASE("a member that hears a leader refuses pre-votes and passes over votes")
{
    auto replica = build(builder({A, B, C}));
    replica.receive({B, A, AppendRequest{Term(1), {}, {}, {}, Round(1)}}, Start);
    (void)replica.takeEffects();
    replica.receive({C, A, PreVoteRequest{Term(2), {LogIndex(9), Term(1)}}}, Start);
    replica.receive({C, A, VoteRequest{Term(2), {LogIndex(9), Term(1)}}}, Start);
    const auto effects = replica.takeEffects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(!std::get<PreVoteReply>(effects.messages[0].message.body).granted);
    CHECK(replica.status().term == Term(1));
}

TEST_CASE("a heartbeat commits nothing that it does not vouch for")
{
    const Entry stale{{LogIndex(1), Term(1)}, EntryKind::Change, "stale", {}};
    auto replica = build(builder({A, B, C}).hardState({Term(1), {}}).entries({stale}));
    replica.receive({B, A, AppendRequest{Term(2), {}, {}, LogIndex(1), Round(1)}}, Start);
    CHECK(replica.takeEffects().committed.empty());
}

TEST_CASE("votes and acknowledgements wait for the sync of what they promise")
{
    auto replica = build(builder({A, B, C}));
    const Entry entry{{LogIndex(1), Term(1)}, EntryKind::Noop, {}, {}};
    replica.receive({B, A, VoteRequest{Term(1), {}}}, Start);
    replica.receive({B, A, AppendRequest{Term(1), {}, {entry}, {}, Round(1)}}, Start);
    const auto effects = replica.takeEffects();
    CHECK(effects.hardState == HardState{Term(1), B});
    CHECK(effects.entries == std::vector<Entry>{entry});
    REQUIRE(effects.messages.size() == 2);
    CHECK(effects.messages[0].afterSync);
    CHECK(effects.messages[1].afterSync);
}

TEST_CASE("a member votes once a term")
{
    auto replica = build(builder({A, B, C}));
    replica.receive({B, A, VoteRequest{Term(1), {}}}, Start);
    replica.receive({C, A, VoteRequest{Term(1), {}}}, Start);
    const auto effects = replica.takeEffects();
    REQUIRE(effects.messages.size() == 2);
    CHECK(std::get<VoteReply>(effects.messages[0].message.body).granted);
    CHECK(!std::get<VoteReply>(effects.messages[1].message.body).granted);
}

TEST_CASE("a single member leads and commits only with what is durable")
{
    auto replica = build(builder({A}));
    const auto later = Start + Long;
    replica.tick(later);
    CHECK(replica.status().role == Role::Candidate);
    replica.persisted(replica.takeEffects().batch, later);
    CHECK(replica.status().role == Role::Leader);
    const auto started = replica.takeEffects();
    CHECK(started.entries.size() == 1);
    CHECK(replica.status().commit == LogIndex(0));
    replica.persisted(started.batch, later);
    CHECK(replica.status().commit == LogIndex(1));
}

TEST_CASE("an entry of an earlier term is committed only together with one of the present term")
{
    auto replica = leaderOverOldEntry();
    const auto later = Start + Long;
    CHECK(core::ok(replica.requestReadIndex(ReadToken(1), later)));
    replica.receive({B, A, AppendReply{Term(2), Round(1), LogIndex(1), {}}}, later);
    auto effects = replica.takeEffects();
    CHECK(effects.committed.empty());
    CHECK(effects.confirmedReads.empty());
    replica.receive({B, A, AppendReply{Term(2), Round(1), LogIndex(2), {}}}, later);
    effects = replica.takeEffects();
    CHECK(effects.committed.size() == 2);
    CHECK(effects.confirmedReads.empty());
    replica.receive({B, A, AppendReply{Term(2), Round(2), LogIndex(2), {}}}, later);
    effects = replica.takeEffects();
    REQUIRE(effects.confirmedReads.size() == 1);
    CHECK(effects.confirmedReads[0].index == LogIndex(2));
}

TEST_CASE("reads share rounds")
{
    auto pool = settledPool(3);
    constexpr std::size_t Reads = 100;
    const auto before = pool.sent;
    for (std::size_t i = 0; i < Reads; ++i) {
        pool.read(*pool.leader());
    }
    pool.run(core::Duration(std::chrono::milliseconds(200)));
    CHECK(pool.confirmedReads == Reads);
    CHECK(pool.sent - before <= 12);
}

TEST_CASE("a member whose storage failed neither answers nor leads")
{
    auto pool = settledPool(3);
    auto &replica = *pool.leader()->replica;
    const auto self = replica.status().self;
    CHECK(core::ok(replica.requestReadIndex(ReadToken(1), pool.now)));
    CHECK(core::ok(replica.propose("lost", pool.now)));
    replica.storageFailed();
    auto effects = replica.takeEffects();
    CHECK(!effects.needsSync());
    CHECK(effects.failedReads.size() == 1);
    replica.receive({self == A ? B : A, self, VoteRequest{Term(99), {LogIndex(99), Term(98)}}}, pool.now);
    replica.tick(pool.now + Long);
    CHECK(replica.takeEffects().messages.empty());
    CHECK(codeOf(replica.propose("refused", pool.now)) == ErrorCode::JournalWriteFailed);
}

TEST_CASE("an empty disk does not vote as the member that was lost")
{
    auto replica = build(Replica::Builder().self({A.host, DiskId("2")}).random(core::seededRandom(1)));
    replica.receive({B, A, VoteRequest{Term(5), {}}}, Start);
    replica.receive({B, A, AppendRequest{Term(5), {}, {}, {}, Round(1)}}, Start);
    replica.tick(Start + Long);
    const auto effects = replica.takeEffects();
    CHECK(effects.messages.empty());
    CHECK(!effects.needsSync());
}

TEST_CASE("a replacement is finished only once the new disk holds everything")
{
    auto pool = settledPool(3);
    auto &lost = follower(pool);
    const auto wanted = replaceDisk(pool, lost);
    pool.start(lost);
    pool.isolate(lost, true);
    REQUIRE(core::ok(change(pool, wanted)));
    CHECK(pool.propose(*pool.leader()));
    pool.run(Long);
    CHECK(pool.members.learner() == lost.id);
    CHECK(codeOf(change(pool, wanted)) == ErrorCode::ChangeNotCommitted);
    pool.isolate(lost, false);
    while (!pool.members.isSettled()) {
        pool.step();
    }
    CHECK(pool.members.isVoter(lost.id));
    CHECK(pool.members.voters.size() == 3);
    REQUIRE(!lost.disk.entries.empty());
    CHECK(lost.disk.entries.back().members.isVoter(lost.id));
    CHECK(pool.violations.empty());
}

TEST_CASE("a change whose new member is lost too can be given up for another")
{
    auto pool = settledPool(5);
    auto &lost = follower(pool);
    auto wanted = replaceDisk(pool, lost);
    const auto old = *wanted.leaving;
    REQUIRE(core::ok(change(pool, wanted)));
    pool.run(Long);
    pool.loseDisk(lost);
    pool.start(lost);
    wanted.joining = lost.id;
    CHECK(codeOf(change(pool, wanted)) == ErrorCode::ChangeNotCommitted);
    wanted.abandonRunning = true;
    REQUIRE(core::ok(change(pool, wanted)));
    pool.run(Long);
    CHECK(pool.members.isSettled());
    CHECK(pool.members.isVoter(lost.id));
    CHECK(!pool.members.isVoter(old));
}

TEST_CASE("a live member is removed, the leader itself too, and no senseless change is begun")
{
    auto pool = settledPool(3);
    const auto leaving = pool.leader()->id;
    CHECK(codeOf(change(pool, {{}, MemberId{A.host, DiskId("9")}, false})) == ErrorCode::SettingInvalid);
    CHECK(codeOf(change(pool, {A, {}, false})) == ErrorCode::SettingInvalid);
    CHECK(codeOf(change(pool, {MemberId{A.host, DiskId("9")}, {}, false})) == ErrorCode::SettingInvalid);
    REQUIRE(core::ok(change(pool, {{}, leaving, false})));
    pool.run(Long);
    REQUIRE(pool.leader() != nullptr);
    CHECK(pool.leader()->id != leaving);
    CHECK(!pool.members.isVoter(leaving));
}

TEST_CASE("a member behind the compacted log gets the snapshot whole")
{
    auto pool = settledPool(3);
    auto &behind = follower(pool);
    pool.isolate(behind, true);
    for (int i = 0; i < 50; ++i) {
        pool.propose(*pool.leader());
        pool.step();
    }
    pool.run(Long);
    auto &leader = *pool.leader();
    CHECK(core::ok(leader.replica->compact(leader.applied, leader.state)));
    pool.flush(leader);
    pool.isolate(behind, false);
    pool.run(Long);
    CHECK(behind.replica->status().snapshot == leader.applied);
    pool.checkConverged();
    CHECK(pool.violations.empty());
}

TEST_CASE("a log with a gap is refused at the start")
{
    const Entry third{{LogIndex(3), Term(1)}, EntryKind::Noop, {}, {}};
    const auto built = builder({A}).hardState({Term(1), {}}).entries({third}).build(Start);
    REQUIRE(!core::ok(built));
    CHECK(core::error(built).code == ErrorCode::JournalDamaged);
}

TEST_CASE("a sync of entries that were overwritten meanwhile does not count for what replaced them")
{
    Outbox outbox({}, LogIndex(0));
    outbox.append({{LogIndex(1), Term(1)}, EntryKind::Noop, {}, {}});
    const auto overwritten = outbox.take(LogIndex(1), {});
    outbox.truncateFrom(LogIndex(1));
    outbox.append({{LogIndex(1), Term(2)}, EntryKind::Noop, {}, {}});
    const auto replaced = outbox.take(LogIndex(1), {});
    outbox.persisted(overwritten.batch);
    CHECK(outbox.durableIndex() == LogIndex(0));
    outbox.persisted(replaced.batch);
    CHECK(outbox.durableIndex() == LogIndex(1));
}

TEST_CASE("each step of a replacement adds or removes one voter at most")
{
    const MemberId next{C.host, DiskId("2")};
    const bool alive = GENERATE(false, true);
    auto members = core::value(firstStep({{A, B, C}, {}, {}}, {next, C, false}));
    while (const auto step = nextStep(members, {true, alive})) {
        std::size_t moved = 0;
        for (const auto &member : {A, B, C, next}) {
            moved += members.isVoter(member) != step->isVoter(member) ? 1 : 0;
        }
        CHECK(moved <= 1);
        CHECK(step->voters.size() >= (alive ? 3 : 2));
        members = *step;
    }
    CHECK(members == Members{{A, B, next}, {}, {}});
}

TEST_CASE("members that start together agree on a leader at the first campaign")
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
        Timing timing;
        timing.firstElectionTimeout = std::chrono::milliseconds(100);
        Cluster pool(5, seed, timing);
        pool.run(std::chrono::milliseconds(400));
        REQUIRE(pool.leader() != nullptr);
        CHECK(pool.leader()->replica->status().term == Term(1));
    }
}
