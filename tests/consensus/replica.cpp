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

constexpr auto SettleTime = std::chrono::seconds(10);
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

Cluster clusterWithLeader(std::size_t size)
{
    Cluster cluster(size, 1, Timing());
    cluster.run(SettleTime);
    REQUIRE(cluster.leader() != nullptr);
    return cluster;
}

testing::Host &follower(Cluster &cluster)
{
    return &cluster.hosts[0] == cluster.leader() ? cluster.hosts[1] : cluster.hosts[0];
}

/** A leader of term 2 whose log holds one uncommitted entry of term 1. */
Replica leaderWithOldEntry()
{
    const Entry old{{LogIndex(1), Term(1)}, EntryKind::Change, "old", {}};
    auto replica = build(builder({A, B, C}).hardState({Term(1), {}}).entries({old}));
    const auto later = Start + SettleTime;
    replica.tick(later);
    replica.receive({B, A, PreVoteReply{Term(1), Term(2), true}}, later);
    replica.persisted(replica.takeEffects().batch, later);
    replica.receive({B, A, VoteReply{Term(2), true}}, later);
    replica.persisted(replica.takeEffects().batch, later);
    REQUIRE(replica.status().role == Role::Leader);
    return replica;
}

/** Loses the disk of @p host and returns the change that replaces the lost member. */
MembersChange loseDisk(Cluster &cluster, testing::Host &host)
{
    MembersChange change;
    change.leaving = host.id;
    cluster.loseDisk(host);
    change.joining = host.id;
    return change;
}

core::Result<EntryId> change(Cluster &cluster, const MembersChange &requested)
{
    auto &leader = *cluster.leader();
    auto result = leader.replica->changeMembers(requested, cluster.now);
    cluster.flush(leader);
    return result;
}

} // namespace

TEST_CASE("a member that returns from isolation does not depose the leader or raise the term")
{
    auto cluster = clusterWithLeader(3);
    auto *leader = cluster.leader();
    const auto term = leader->replica->status().term;
    auto &isolated = follower(cluster);
    cluster.isolate(isolated, true);
    cluster.run(SettleTime);
    CHECK(isolated.replica->status().term == term);
    cluster.isolate(isolated, false);
    cluster.run(SettleTime);
    CHECK(cluster.leader() == leader);
    CHECK(leader->replica->status().term == term);
}

TEST_CASE("an isolated leader fails its pending reads and then refuses proposals with NoQuorum")
{
    auto cluster = clusterWithLeader(3);
    auto &leader = *cluster.leader();
    cluster.isolate(leader, true);
    CHECK(cluster.read(leader));
    CHECK(cluster.propose(leader));
    cluster.run(SettleTime);
    CHECK(leader.reads.empty());
    CHECK(cluster.confirmedReads == 0);
    CHECK(cluster.acknowledged.empty());
    CHECK(codeOf(leader.replica->propose("late", cluster.now)) == ErrorCode::NoQuorum);
}

TEST_CASE("a leader that was paused for longer than the election timeout steps down at its next tick")
{
    auto cluster = clusterWithLeader(3);
    auto &leader = *cluster.leader();
    leader.replica->tick(cluster.now + SettleTime);
    CHECK(leader.replica->status().role == Role::Follower);
}

TEST_CASE("an acknowledgement of an old heartbeat round does not keep a leader from stepping down")
{
    auto replica = leaderWithOldEntry();
    const auto elected = Start + SettleTime;
    const auto resumed = elected + std::chrono::milliseconds(500);
    replica.tick(resumed);
    replica.receive({B, A, AppendReply{Term(2), Round(1), LogIndex(2), {}}}, resumed);
    replica.tick(elected + std::chrono::milliseconds(700));
    CHECK(replica.status().role == Role::Follower);
}

TEST_CASE("a member in contact with a leader refuses pre-votes and ignores vote requests")
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

TEST_CASE("a heartbeat does not commit entries after the one that it matches")
{
    const Entry stale{{LogIndex(1), Term(1)}, EntryKind::Change, "stale", {}};
    auto replica = build(builder({A, B, C}).hardState({Term(1), {}}).entries({stale}));
    replica.receive({B, A, AppendRequest{Term(2), {}, {}, LogIndex(1), Round(1)}}, Start);
    CHECK(replica.takeEffects().committed.empty());
}

TEST_CASE("votes and append replies are sent only after the vote and the entries are synced")
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

TEST_CASE("a member grants only one vote per term")
{
    auto replica = build(builder({A, B, C}));
    replica.receive({B, A, VoteRequest{Term(1), {}}}, Start);
    replica.receive({C, A, VoteRequest{Term(1), {}}}, Start);
    const auto effects = replica.takeEffects();
    REQUIRE(effects.messages.size() == 2);
    CHECK(std::get<VoteReply>(effects.messages[0].message.body).granted);
    CHECK(!std::get<VoteReply>(effects.messages[1].message.body).granted);
}

TEST_CASE("a single member leads only once its vote is durable and commits only durable entries")
{
    auto replica = build(builder({A}));
    const auto later = Start + SettleTime;
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

TEST_CASE("an entry of an earlier term is committed only together with one of the current term")
{
    auto replica = leaderWithOldEntry();
    const auto later = Start + SettleTime;
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

TEST_CASE("concurrent reads share heartbeat rounds")
{
    auto cluster = clusterWithLeader(3);
    constexpr std::size_t Reads = 100;
    const auto before = cluster.sentMessages;
    for (std::size_t i = 0; i < Reads; ++i) {
        cluster.read(*cluster.leader());
    }
    cluster.run(core::Duration(std::chrono::milliseconds(200)));
    CHECK(cluster.confirmedReads == Reads);
    CHECK(cluster.sentMessages - before <= 12);
}

TEST_CASE("a leader whose storage fails hands its leadership on, and promises nothing until the storage is restored")
{
    auto cluster = clusterWithLeader(3);
    auto &replica = *cluster.leader()->replica;
    const auto self = replica.status().self;
    const auto other = self == A ? B : A;
    CHECK(core::ok(replica.requestReadIndex(ReadToken(1), cluster.now)));
    CHECK(core::ok(replica.propose("not stored", cluster.now)));
    replica.storageFailed(cluster.now);
    auto effects = replica.takeEffects();
    CHECK(effects.failedReads.size() == 1);
    REQUIRE(!effects.messages.empty());
    CHECK(std::holds_alternative<HandoverRequest>(effects.messages.back().message.body));
    CHECK(std::none_of(effects.messages.begin(), effects.messages.end(), [](const OutgoingMessage &message) {
        return message.afterSync;
    }));
    CHECK(replica.status().role == Role::Follower);
    CHECK(replica.status().isStorageFailed);
    replica.receive({other, self, PreVoteRequest{Term(99), {LogIndex(99), Term(98)}}}, cluster.now);
    replica.receive({other, self, VoteRequest{Term(99), {LogIndex(99), Term(98)}}}, cluster.now);
    replica.tick(cluster.now + SettleTime);
    CHECK(replica.takeEffects().messages.empty());
    CHECK(codeOf(replica.propose("refused", cluster.now)) == ErrorCode::NoQuorum);
    const auto image = replica.storageImage();
    REQUIRE(!image.entries.empty());
    CHECK(image.entries.back().payload == "not stored");
    CHECK(image.hardState.term == replica.status().term);
    replica.storageRestored(image.batch, cluster.now);
    CHECK(replica.status().durable == replica.status().last);
    replica.receive({other, self, VoteRequest{Term(99), {LogIndex(99), Term(98)}}}, cluster.now);
    effects = replica.takeEffects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(std::get<VoteReply>(effects.messages[0].message.body).granted);
}

TEST_CASE("a member without storage applies what is committed, acknowledges it only once the storage is restored")
{
    auto replica = build(builder({A, B, C}));
    replica.storageFailed(Start);
    const Entry entry{{LogIndex(1), Term(1)}, EntryKind::Change, "change", {}};
    const AppendRequest append{Term(1), {}, {entry}, LogIndex(1), Round(1)};
    replica.receive({B, A, append}, Start);
    auto effects = replica.takeEffects();
    CHECK(effects.committed == std::vector<Entry>{entry});
    CHECK(effects.messages.empty());
    CHECK(codeOf(replica.propose("forwarded", Start)) == ErrorCode::NotLeader);
    CHECK(replica.status().durable == LogIndex(0));
    const auto image = replica.storageImage();
    CHECK(image.entries == std::vector<Entry>{entry});
    // An entry that arrives while the image is written is stored by a later batch.
    const Entry later{{LogIndex(2), Term(1)}, EntryKind::Change, "later", {}};
    replica.receive({B, A, AppendRequest{Term(1), entry.id, {later}, LogIndex(1), Round(2)}}, Start);
    const auto batch = replica.takeEffects().batch;
    replica.storageRestored(image.batch, Start);
    CHECK(replica.status().durable == LogIndex(1));
    replica.persisted(batch, Start);
    CHECK(replica.status().durable == LogIndex(2));
    replica.receive({B, A, append}, Start);
    effects = replica.takeEffects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(std::get<AppendReply>(effects.messages[0].message.body).match == LogIndex(1));
}

TEST_CASE("a member to which leadership is handed is elected within a few round trips")
{
    auto cluster = clusterWithLeader(3);
    auto &old = *cluster.leader();
    old.replica->handOver(cluster.now);
    cluster.flush(old);
    CHECK(old.replica->status().role == Role::Follower);
    cluster.run(core::Duration(std::chrono::milliseconds(100)));
    REQUIRE(cluster.leader() != nullptr);
    CHECK(cluster.leader() != &old);
    cluster.run(SettleTime);
    CHECK(cluster.violations.empty());
}

TEST_CASE("a host with a new data folder does not vote as the member whose folder was lost")
{
    auto replica = build(Replica::Builder().self({A.host, DiskId("2")}).random(core::seededRandom(1)));
    replica.receive({B, A, VoteRequest{Term(5), {}}}, Start);
    replica.receive({B, A, AppendRequest{Term(5), {}, {}, {}, Round(1)}}, Start);
    replica.tick(Start + SettleTime);
    const auto effects = replica.takeEffects();
    CHECK(effects.messages.empty());
    CHECK(!effects.needsSync());
}

TEST_CASE("a replacement is finished only once the new member holds all entries")
{
    auto cluster = clusterWithLeader(3);
    auto &lost = follower(cluster);
    const auto requested = loseDisk(cluster, lost);
    cluster.start(lost);
    cluster.isolate(lost, true);
    REQUIRE(core::ok(change(cluster, requested)));
    CHECK(cluster.propose(*cluster.leader()));
    cluster.run(SettleTime);
    CHECK(cluster.members.learner() == lost.id);
    CHECK(codeOf(change(cluster, requested)) == ErrorCode::ChangeNotCommitted);
    cluster.isolate(lost, false);
    while (!cluster.members.isSettled()) {
        cluster.step();
    }
    CHECK(cluster.members.isVoter(lost.id));
    CHECK(cluster.members.voters.size() == 3);
    REQUIRE(!lost.disk.entries.empty());
    CHECK(lost.disk.entries.back().members.isVoter(lost.id));
    CHECK(cluster.violations.empty());
}

TEST_CASE("a change of members whose joining member is lost too can be abandoned for another one")
{
    auto cluster = clusterWithLeader(5);
    auto &lost = follower(cluster);
    auto requested = loseDisk(cluster, lost);
    const auto old = *requested.leaving;
    REQUIRE(core::ok(change(cluster, requested)));
    cluster.run(SettleTime);
    cluster.loseDisk(lost);
    cluster.start(lost);
    requested.joining = lost.id;
    CHECK(codeOf(change(cluster, requested)) == ErrorCode::ChangeNotCommitted);
    requested.abandonRunning = true;
    REQUIRE(core::ok(change(cluster, requested)));
    cluster.run(SettleTime);
    CHECK(cluster.members.isSettled());
    CHECK(cluster.members.isVoter(lost.id));
    CHECK(!cluster.members.isVoter(old));
}

TEST_CASE("a live leader can be removed as a member, and invalid changes of members are refused")
{
    auto cluster = clusterWithLeader(3);
    const auto leaving = cluster.leader()->id;
    CHECK(codeOf(change(cluster, {{}, MemberId{A.host, DiskId("9")}, false})) == ErrorCode::SettingInvalid);
    CHECK(codeOf(change(cluster, {A, {}, false})) == ErrorCode::SettingInvalid);
    CHECK(codeOf(change(cluster, {MemberId{A.host, DiskId("9")}, {}, false})) == ErrorCode::SettingInvalid);
    REQUIRE(core::ok(change(cluster, {{}, leaving, false})));
    cluster.run(SettleTime);
    REQUIRE(cluster.leader() != nullptr);
    CHECK(cluster.leader()->id != leaving);
    CHECK(!cluster.members.isVoter(leaving));
}

TEST_CASE("a member behind the compacted log receives the whole snapshot")
{
    auto cluster = clusterWithLeader(3);
    auto &behind = follower(cluster);
    cluster.isolate(behind, true);
    for (int i = 0; i < 50; ++i) {
        cluster.propose(*cluster.leader());
        cluster.step();
    }
    cluster.run(SettleTime);
    auto &leader = *cluster.leader();
    CHECK(core::ok(leader.replica->compact(leader.applied, leader.state)));
    cluster.flush(leader);
    cluster.isolate(behind, false);
    cluster.run(SettleTime);
    CHECK(behind.replica->status().snapshot == leader.applied);
    cluster.checkConverged();
    CHECK(cluster.violations.empty());
}

TEST_CASE("a stored log with a gap is refused at start-up")
{
    const Entry third{{LogIndex(3), Term(1)}, EntryKind::Noop, {}, {}};
    const auto built = builder({A}).hardState({Term(1), {}}).entries({third}).build(Start);
    REQUIRE(!core::ok(built));
    CHECK(core::error(built).code == ErrorCode::JournalDamaged);
}

TEST_CASE("syncing entries that were truncated meanwhile does not make their replacements durable")
{
    Outbox outbox({}, LogIndex(0));
    outbox.append({{LogIndex(1), Term(1)}, EntryKind::Noop, {}, {}});
    const auto overwritten = outbox.takeBatch(LogIndex(1), {});
    outbox.truncateFrom(LogIndex(1));
    outbox.append({{LogIndex(1), Term(2)}, EntryKind::Noop, {}, {}});
    const auto replaced = outbox.takeBatch(LogIndex(1), {});
    outbox.persisted(overwritten.batch);
    CHECK(outbox.durableIndex() == LogIndex(0));
    outbox.persisted(replaced.batch);
    CHECK(outbox.durableIndex() == LogIndex(1));
}

TEST_CASE("each step of a replacement adds or removes at most one voter")
{
    const MemberId next{C.host, DiskId("2")};
    const bool alive = GENERATE(false, true);
    auto members = core::value(firstStep({{A, B, C}, {}, {}}, {next, C, false}));
    while (const auto step = nextStep(members, {true, alive})) {
        std::size_t changedVoters = 0;
        for (const auto &member : {A, B, C, next}) {
            changedVoters += members.isVoter(member) != step->isVoter(member) ? 1 : 0;
        }
        CHECK(changedVoters <= 1);
        CHECK(step->voters.size() >= (alive ? 3 : 2));
        members = *step;
    }
    CHECK(members == Members{{A, B, next}, {}, {}});
}

TEST_CASE("members that start together elect a leader in the first term")
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
        Timing timing;
        timing.firstElectionTimeout = std::chrono::milliseconds(100);
        Cluster cluster(5, seed, timing);
        cluster.run(std::chrono::milliseconds(400));
        REQUIRE(cluster.leader() != nullptr);
        CHECK(cluster.leader()->replica->status().term == Term(1));
    }
}

TEST_CASE("members elect a leader although each sync takes 250 ms")
{
    Cluster cluster(3, 1, Timing());
    cluster.faults.maxSyncDelay = 0;
    cluster.faults.minSyncDelay = static_cast<unsigned>(std::chrono::milliseconds(250) / testing::Step);
    cluster.run(SettleTime);
    CHECK(cluster.leader() != nullptr);
    CHECK(cluster.violations.empty());
}
