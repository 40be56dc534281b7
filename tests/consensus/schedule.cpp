/**
 * Tests with random, seeded schedules of faults. To run a single seed: PIMENTOSHED_SEED=17 test_decisions "[schedule]".
 * To print measurements: test_decisions "[measure]".
 */
#include "consensus/cluster.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>

using namespace pimentoshed;
using namespace pimentoshed::consensus;
using consensus::testing::Cluster;
using consensus::testing::Host;
using consensus::testing::milliseconds;

namespace
{

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t LastSeed = 400;
constexpr Timing ShortTiming{milliseconds(50), milliseconds(200), milliseconds(100), milliseconds(500)};
constexpr core::Duration FaultPeriod = std::chrono::seconds(12);
constexpr core::Duration RecoveryPeriod = std::chrono::seconds(6);

std::vector<std::uint64_t> seeds()
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    if (const char *value = std::getenv("PIMENTOSHED_SEED")) {
        return {std::strtoull(value, nullptr, 10)};
    }
    std::vector<std::uint64_t> all;
    for (auto seed = FirstSeed; seed <= LastSeed; ++seed) {
        all.push_back(seed);
    }
    return all;
}

/**
 * One run. Faults begin and end at random while clients propose and read, and while an operator replaces lost disks.
 * Then all hosts recover, no more messages are lost, and the replicas must converge.
 */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_cluster(seed % 2 == 0 ? 3 : 5, seed, ShortTiming)
    {
        const auto pick = [this](unsigned bound) {
            return static_cast<unsigned>(m_cluster.below(bound));
        };
        m_cluster.faults = {pick(20), pick(15), 1 + pick(8), pick(6)};
    }

    Cluster &run()
    {
        for (const auto end = m_cluster.now + FaultPeriod; m_cluster.now < end;) {
            if (m_cluster.below(25) == 0) {
                injectFault();
            }
            step();
        }
        recoverAll();
        for (const auto end = m_cluster.now + RecoveryPeriod; m_cluster.now < end;) {
            step();
        }
        m_clientsStopped = true;
        m_cluster.run(std::chrono::seconds(2));
        m_cluster.checkConverged();
        return m_cluster;
    }

    bool isRepaired() const
    {
        return !m_replacement && m_cluster.members.isSettled();
    }
    unsigned lostDisks() const
    {
        return m_lostDisks;
    }

private:
    Host &randomHost()
    {
        return m_cluster.hosts[m_cluster.below(m_cluster.hosts.size())];
    }

    void injectFault()
    {
        auto &host = randomHost();
        switch (m_cluster.below(11)) {
        case 0:
            host.frozen = !host.frozen;
            break;
        case 1:
            m_cluster.isolate(host, !host.isolated);
            break;
        case 2:
            m_cluster.kill(host);
            break;
        case 3:
        case 4:
            disruptLeader(host);
            break;
        case 5:
            loseDisk(host);
            break;
        case 6:
        case 7:
            host.diskFails = !host.diskFails;
            break;
        case 8:
            host.syncDelayFactor = host.syncDelayFactor == 1 ? 30 : 1;
            break;
        default:
            recover(host);
        }
    }

    /** Isolates the leader, kills it, or restarts it at once while isolating @p other. */
    void disruptLeader(Host &other)
    {
        auto *leader = m_cluster.leader();
        if (leader == nullptr) {
            return;
        }
        if (m_cluster.below(3) == 0) {
            m_cluster.isolate(*leader, true);
            return;
        }
        m_cluster.kill(*leader);
        if (m_cluster.below(2) == 0) {
            m_cluster.start(*leader);
            m_cluster.isolate(other, true);
        }
    }

    void recover(Host &host)
    {
        host.frozen = false;
        host.diskFails = false;
        host.syncDelayFactor = 1;
        m_cluster.isolate(host, false);
        if (!host.replica) {
            m_cluster.start(host);
        }
    }

    void recoverAll()
    {
        m_isRecovering = true;
        m_cluster.faults.lossPercent = 0;
        for (auto &host : m_cluster.hosts) {
            recover(host);
        }
    }

    void loseDisk(Host &host)
    {
        if (m_replacement) {
            return;
        }
        ++m_lostDisks;
        m_replacement = MembersChange{std::nullopt, host.id, false};
        m_cluster.loseDisk(host);
        m_replacement->joining = host.id;
    }

    /** Replaces a lost disk by a change of members. Once that has finished, the next disk may be lost at once. */
    void replaceLostDisk()
    {
        const auto &members = m_cluster.members;
        if (m_replacement && members.isSettled() && members.isVoter(*m_replacement->joining)) {
            m_replacement.reset();
            if (!m_isRecovering && m_cluster.below(2) == 0) {
                loseDisk(randomHost());
            }
        }
        auto *leader = m_cluster.leader();
        if (m_replacement && leader != nullptr && leader->replica->status().members.isSettled()) {
            (void)leader->replica->changeMembers(*m_replacement, m_cluster.now);
            m_cluster.flush(*leader);
        }
    }

    void step()
    {
        m_cluster.step();
        replaceLostDisk();
        auto &host = randomHost();
        if (m_clientsStopped || !host.replica || host.frozen) {
            return;
        }
        if (m_cluster.below(4) == 0) {
            m_cluster.propose(host);
        }
        m_cluster.read(host);
        if (m_cluster.below(100) == 0) {
            (void)host.replica->compact(host.applied, host.state);
            m_cluster.flush(host);
        }
    }

    Cluster m_cluster;
    std::optional<MembersChange> m_replacement;
    unsigned m_lostDisks = 0;
    bool m_isRecovering = false;
    bool m_clientsStopped = false;
};

/** Totals over all schedules, to detect runs in which nothing was tested. */
struct Totals {
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t lostDisks = 0;
    std::size_t elections = 0;
};

void runSchedule(std::uint64_t seed, Totals &totals)
{
    Schedule schedule(seed);
    auto &cluster = schedule.run();
    totals.acknowledged += cluster.acknowledged.size();
    totals.reads += cluster.confirmedReads;
    totals.lostDisks += schedule.lostDisks();
    totals.elections += cluster.elections();
    const auto first = cluster.violations.empty() ? std::string() : cluster.violations.front();
    INFO("seed " << seed << ": " << cluster.violations.size() << " violations");
    CHECK_THAT(first, Catch::Matchers::Equals(std::string()));
    CHECK(schedule.isRepaired());
    CHECK(!cluster.acknowledged.empty());
    CHECK(cluster.confirmedReads > 0);
}

} // namespace

TEST_CASE("the replicated log keeps its guarantees under random schedules of faults", "[schedule]")
{
    Totals totals;
    const auto all = seeds();
    for (const auto seed : all) {
        runSchedule(seed, totals);
    }
    CAPTURE(fmt::format("{} seeds: {} acknowledged, {} reads, {} lost disks, {} elections",
                        all.size(),
                        totals.acknowledged,
                        totals.reads,
                        totals.lostDisks,
                        totals.elections));
    CHECK(totals.lostDisks >= all.size());
    CHECK(totals.elections >= all.size() * 2);
}

namespace
{

enum class LeaderLoss {
    Kill,
    Isolation,
    Freeze,
};

constexpr std::array LeaderLossNames{
    core::EnumName<LeaderLoss>{LeaderLoss::Kill, "kill"},
    core::EnumName<LeaderLoss>{LeaderLoss::Isolation, "isolation"},
    core::EnumName<LeaderLoss>{LeaderLoss::Freeze, "freeze"},
};

double secondsWithoutLeader(std::size_t size, std::uint64_t seed, LeaderLoss loss)
{
    Cluster cluster(size, seed, Timing());
    cluster.run(std::chrono::seconds(10) + testing::Step * cluster.below(100));
    auto *old = cluster.leader();
    REQUIRE(old != nullptr);
    if (loss == LeaderLoss::Kill) {
        cluster.kill(*old);
    }
    cluster.isolate(*old, loss == LeaderLoss::Isolation);
    old->frozen = loss == LeaderLoss::Freeze;
    const auto lost = cluster.now;
    while (cluster.leader() == nullptr || cluster.leader() == old) {
        cluster.step();
    }
    return core::toSeconds(cluster.now - lost);
}

} // namespace

TEST_CASE("time without a leader after the leader is lost", "[.][measure]")
{
    for (const std::size_t size : {3, 5, 7}) {
        for (const auto &row : LeaderLossNames) {
            std::vector<double> times;
            for (const auto seed : seeds()) {
                times.push_back(secondsWithoutLeader(size, seed, row.value));
            }
            std::sort(times.begin(), times.end());
            fmt::print("{} members, {}, {} seeds: median {:.2f} s, 99th {:.2f} s, worst {:.2f} s\n",
                       size,
                       row.name,
                       times.size(),
                       times[times.size() / 2],
                       times[times.size() * 99 / 100],
                       times.back());
        }
    }
}

TEST_CASE("message rate of an idle cluster", "[.][measure]")
{
    constexpr auto Period = std::chrono::seconds(60);
    for (const std::size_t size : {3, 5, 7}) {
        Cluster cluster(size, FirstSeed, Timing());
        cluster.run(std::chrono::seconds(10));
        const auto before = cluster.sentMessages;
        cluster.run(Period);
        fmt::print(
            "{} members: {:.1f} messages a second\n", size, double(cluster.sentMessages - before) / Period.count());
    }
}
