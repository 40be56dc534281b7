/**
 * Seeded schedules of faults. One seed alone: PIMENTOSHED_SEED=17 test_decisions "[schedule]".
 * Figures: test_decisions "[measure]".
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
constexpr Timing Quick{milliseconds(50), milliseconds(200), milliseconds(100), milliseconds(500)};
constexpr core::Duration Stormy = std::chrono::seconds(12);
constexpr core::Duration Calm = std::chrono::seconds(6);

std::vector<std::uint64_t> seeds()
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    if (const char *one = std::getenv("PIMENTOSHED_SEED")) {
        return {std::strtoull(one, nullptr, 10)};
    }
    std::vector<std::uint64_t> all;
    for (auto seed = FirstSeed; seed <= LastSeed; ++seed) {
        all.push_back(seed);
    }
    return all;
}

/** One run: faults come and go while clients propose and read and an operator replaces lost disks. */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_pool(seed % 2 == 0 ? 3 : 5, seed, Quick)
    {
        const auto pick = [this](unsigned bound) {
            return static_cast<unsigned>(m_pool.below(bound));
        };
        m_pool.weather = {pick(20), pick(15), 1 + pick(8), pick(6)};
    }

    Cluster &run()
    {
        for (const auto end = m_pool.now + Stormy; m_pool.now < end;) {
            if (m_pool.below(25) == 0) {
                fault();
            }
            step();
        }
        heal();
        for (const auto end = m_pool.now + Calm; m_pool.now < end;) {
            step();
        }
        m_quiet = true;
        m_pool.run(std::chrono::seconds(2));
        m_pool.checkConverged();
        return m_pool;
    }

    bool repaired() const
    {
        return !m_lost && m_pool.members.isSettled();
    }
    unsigned losses() const
    {
        return m_losses;
    }

private:
    Host &any()
    {
        return m_pool.hosts[m_pool.below(m_pool.hosts.size())];
    }

    void fault()
    {
        auto &host = any();
        switch (m_pool.below(9)) {
        case 0:
            host.frozen = !host.frozen;
            break;
        case 1:
            m_pool.isolate(host, !host.isolated);
            break;
        case 2:
            m_pool.kill(host);
            break;
        case 3:
        case 4:
            loseLeader(host);
            break;
        case 5:
            loseDisk(host);
            break;
        case 6:
            host.slowness = host.slowness == 1 ? 30 : 1;
            break;
        default:
            mend(host);
        }
    }

    /** The leader goes, or restarts at once, while @p other is cut off. */
    void loseLeader(Host &other)
    {
        auto *leader = m_pool.leader();
        if (leader == nullptr) {
            return;
        }
        if (m_pool.below(3) == 0) {
            m_pool.isolate(*leader, true);
            return;
        }
        m_pool.kill(*leader);
        if (m_pool.below(2) == 0) {
            m_pool.start(*leader);
            m_pool.isolate(other, true);
        }
    }

    void mend(Host &host)
    {
        host.frozen = false;
        host.slowness = 1;
        m_pool.isolate(host, false);
        if (!host.replica) {
            m_pool.start(host);
        }
    }

    void heal()
    {
        m_calm = true;
        m_pool.weather.lossPercent = 0;
        for (auto &host : m_pool.hosts) {
            mend(host);
        }
    }

    void loseDisk(Host &host)
    {
        if (m_lost) {
            return;
        }
        ++m_losses;
        m_lost = MembersChange{std::nullopt, host.id, false};
        m_pool.loseDisk(host);
        m_lost->joining = host.id;
    }

    /** Replaces a lost disk; the next one is lost as soon as that is reported as finished. */
    void repair()
    {
        const auto &members = m_pool.members;
        if (m_lost && members.isSettled() && members.isVoter(*m_lost->joining)) {
            m_lost.reset();
            if (!m_calm && m_pool.below(2) == 0) {
                loseDisk(any());
            }
        }
        auto *leader = m_pool.leader();
        if (m_lost && leader != nullptr && leader->replica->status().members.isSettled()) {
            (void)leader->replica->changeMembers(*m_lost, m_pool.now);
            m_pool.flush(*leader);
        }
    }

    void step()
    {
        m_pool.step();
        repair();
        auto &host = any();
        if (m_quiet || !host.replica || host.frozen) {
            return;
        }
        if (m_pool.below(4) == 0) {
            m_pool.propose(host);
        }
        m_pool.read(host);
        if (m_pool.below(100) == 0) {
            (void)host.replica->compact(host.applied, host.state);
            m_pool.flush(host);
        }
    }

    Cluster m_pool;
    std::optional<MembersChange> m_lost;
    unsigned m_losses = 0;
    bool m_calm = false;
    bool m_quiet = false;
};

/** What the schedules came to, so that a run that tests nothing shows. */
struct Totals {
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t losses = 0;
    std::size_t elections = 0;
};

void runSchedule(std::uint64_t seed, Totals &totals)
{
    Schedule schedule(seed);
    auto &pool = schedule.run();
    totals.acknowledged += pool.acknowledged.size();
    totals.reads += pool.confirmedReads;
    totals.losses += schedule.losses();
    totals.elections += pool.elections();
    const auto first = pool.violations.empty() ? std::string() : pool.violations.front();
    INFO("seed " << seed << ": " << pool.violations.size() << " violations");
    CHECK_THAT(first, Catch::Matchers::Equals(std::string()));
    CHECK(schedule.repaired());
    CHECK(!pool.acknowledged.empty());
    CHECK(pool.confirmedReads > 0);
}

} // namespace

TEST_CASE("no schedule of faults breaks the replicated log", "[schedule]")
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
                        totals.losses,
                        totals.elections));
    CHECK(totals.losses >= all.size());
    CHECK(totals.elections >= all.size() * 2);
}

namespace
{

enum class Loss {
    Kill,
    Isolation,
    Freeze,
};

constexpr std::array LossNames{
    core::EnumName<Loss>{Loss::Kill, "kill"},
    core::EnumName<Loss>{Loss::Isolation, "isolation"},
    core::EnumName<Loss>{Loss::Freeze, "freeze"},
};

double secondsWithoutLeader(std::size_t size, std::uint64_t seed, Loss loss)
{
    Cluster pool(size, seed, Timing());
    pool.run(std::chrono::seconds(10) + testing::Step * pool.below(100));
    auto *old = pool.leader();
    REQUIRE(old != nullptr);
    if (loss == Loss::Kill) {
        pool.kill(*old);
    }
    pool.isolate(*old, loss == Loss::Isolation);
    old->frozen = loss == Loss::Freeze;
    const auto lost = pool.now;
    while (pool.leader() == nullptr || pool.leader() == old) {
        pool.step();
    }
    return core::toSeconds(pool.now - lost);
}

} // namespace

TEST_CASE("time without a leader", "[.][measure]")
{
    for (const std::size_t size : {3, 5, 7}) {
        for (const auto &row : LossNames) {
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

TEST_CASE("messages at rest", "[.][measure]")
{
    constexpr auto Period = std::chrono::seconds(60);
    for (const std::size_t size : {3, 5, 7}) {
        Cluster pool(size, FirstSeed, Timing());
        pool.run(std::chrono::seconds(10));
        const auto before = pool.sent;
        pool.run(Period);
        fmt::print("{} members: {:.1f} messages a second\n", size, double(pool.sent - before) / Period.count());
    }
}
