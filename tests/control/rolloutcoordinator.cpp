#include "control/rolloutcoordinator.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

using namespace pimentoshed;
using namespace std::chrono_literals;
using control::RolloutCoordinator;

namespace
{

const rollouts::Order Order{core::ServiceName("labels"), "v2", 16s};
constexpr core::Duration Tick = 50ms;

targets::Target makeTarget(const std::string &id, const std::string &version)
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.service = Order.service;
    target.condition = targets::Condition::Warm;
    target.slots = 4;
    target.softwareVersion = version;
    return target;
}

/** Three control hosts that share one ledger in place of the replicated log, and one entry host that follows the first.
 */
class Pool
{
public:
    Pool()
    {
        const auto applied = m_ledger.apply(
            changes::ApplyFile{core::ChangeId("f"),
                               "replaces = 0\nfailure_domains = "
                               "[\"ravne\"]\n[institution.tourism]\n[service.labels]\ninstitution = \"tourism\"\n"
                               "path_prefix = \"/labels/\"\nslots = 4\ndeadline_ms = 500\n"});
        REQUIRE(core::ok(applied));
        for (std::size_t host = 0; host < 3; ++host) {
            m_hosts.push_back(std::make_unique<RolloutCoordinator>(dependencies(host)));
        }
    }

    changes::Answer order(const rollouts::Order &order, std::size_t host = 0)
    {
        std::optional<changes::Answer> answer;
        m_hosts.at(host)->start({core::ChangeId("order-" + std::to_string(++m_orders)), order, 0},
                                control::OrderAge(m_stalls, clock()),
                                [&answer](const changes::Answer &got) {
                                    answer = got;
                                });
        REQUIRE(answer);
        return *answer;
    }

    rollouts::Rollout rollout() const
    {
        return m_ledger.activeConfiguration().rollouts.at(Order.service);
    }

    /** Lets time pass; the new version fails @p failing of a hundred requests. */
    void run(core::Duration duration, unsigned failing)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += Tick) {
            count(failing);
            m_stalls.beat();
            for (const auto &host : m_hosts) {
                host->tick(m_now);
            }
        }
    }

    /** Lets time pass while the processes are frozen. */
    void freeze(core::Duration duration)
    {
        m_now += duration;
    }

    void loseLeader()
    {
        m_leader = (m_leader + 1) % m_hosts.size();
    }

private:
    core::StallMonitor::BootClockHook clock()
    {
        return [this]() {
            return core::BootTime(m_now.time_since_epoch());
        };
    }

    RolloutCoordinator::Dependencies dependencies(std::size_t host)
    {
        RolloutCoordinator::Dependencies dependencies;
        dependencies.activeConfiguration = [this]() {
            return std::make_shared<const changes::ActiveConfiguration>(m_ledger.activeConfiguration());
        };
        dependencies.isLeader = [this, host]() {
            return m_leader == host;
        };
        dependencies.confirmCurrent = [](const std::function<void(bool)> &hook) {
            hook(true);
        };
        dependencies.submit = [this](const rpc::Command &command, const std::function<void(changes::Answer)> &done) {
            const auto *move = std::get_if<changes::MoveRollout>(&command);
            done(move != nullptr ? m_ledger.apply(*move) : m_ledger.apply(std::get<changes::Change>(command)));
        };
        dependencies.targets = []() {
            return std::vector{makeTarget("a", "v1"), makeTarget("b", "v2")};
        };
        dependencies.relay = [this](const std::vector<rollouts::HostCounts> &counts) {
            m_hosts.at(m_leader)->record(counts, true);
        };
        dependencies.now = [this]() {
            return m_now;
        };
        return dependencies;
    }

    /** Twenty requests a tick, divided by the share in force, are counted and reported to the first host. */
    void count(unsigned failing)
    {
        constexpr unsigned Requests = 20;
        m_reported.number = rollout().number;
        m_due += rollout().share() * Requests;
        const auto toNew = static_cast<std::uint64_t>(m_due);
        m_due -= static_cast<double>(toNew);
        auto &[newVersion, oldVersions] = m_reported.counts;
        newVersion.responses += toNew;
        m_failing += static_cast<unsigned>(toNew) * failing;
        newVersion.failures += m_failing / 100;
        newVersion.durations.at(10) += toNew - std::min<std::uint64_t>(toNew, m_failing / 100);
        m_failing %= 100;
        oldVersions.responses += Requests - toNew;
        oldVersions.durations.at(10) += Requests - toNew;
        m_hosts.front()->record({m_reported}, false);
    }

    changes::Ledger m_ledger;
    std::vector<std::unique_ptr<RolloutCoordinator>> m_hosts;
    std::size_t m_leader = 1;
    unsigned m_orders = 0;
    core::TimePoint m_now{core::Duration(100s)};
    core::StallMonitor m_stalls{control::LongestPause, clock()};
    rollouts::HostCounts m_reported{core::HostId("e"), 1, Order.service, 1, core::RouteName("r"), {}};
    double m_due = 0;
    unsigned m_failing = 0;
};

} // namespace

TEST_CASE("A good version gets all requests in time, though the leader is lost at each step")
{
    const bool losesLeaders = GENERATE(false, true);
    Pool pool;
    REQUIRE(core::ok(pool.order(Order)));
    for (auto step = pool.rollout().step; pool.rollout().state == rollouts::State::Running;) {
        pool.run(Tick, 0);
        if (losesLeaders && pool.rollout().step != step) {
            step = pool.rollout().step;
            pool.loseLeader();
        }
        REQUIRE(pool.rollout().elapsed < 16s);
    }
    CHECK(pool.rollout().state == rollouts::State::Complete);
    CHECK(pool.rollout().elapsed < 15s);
}

TEST_CASE("A version that turns bad is taken back within four seconds, though the leader is lost meanwhile")
{
    const bool losesLeader = GENERATE(false, true);
    const auto turnsBad = std::chrono::seconds(GENERATE(0, 3, 8, 9));
    Pool pool;
    REQUIRE(core::ok(pool.order(Order)));
    pool.run(turnsBad, 0);
    REQUIRE(pool.rollout().state == rollouts::State::Running);
    pool.run(100ms, 50);
    if (losesLeader) {
        pool.loseLeader();
    }
    pool.run(4s, 50);
    CHECK(pool.rollout().state == rollouts::State::RolledBack);
    CHECK(pool.rollout().elapsed < turnsBad + 4s);
    CHECK(pool.rollout().reason == rollouts::Reason::Failures);
}

TEST_CASE("An order that is sent again to any host gets its first answer, also just after the rollout went back")
{
    Pool pool;
    const auto first = pool.order(Order);
    REQUIRE(core::ok(first));
    CHECK(pool.order(Order, 2) == first);
    pool.run(4s, 100);
    REQUIRE(pool.rollout().state == rollouts::State::RolledBack);
    CHECK(pool.order(Order, 1) == first);
    CHECK(pool.rollout().number == 1);
    // Later it is a new order.
    pool.run(11s, 0);
    CHECK(pool.order(Order) != first);
    CHECK(pool.rollout().number == 2);
    CHECK(pool.rollout().state == rollouts::State::Running);
}

TEST_CASE("While a rollout runs another order for the service is refused, and after it has ended accepted")
{
    Pool pool;
    REQUIRE(core::ok(pool.order(Order)));
    auto other = Order;
    other.softwareVersion = "v3";
    const auto refused = pool.order(other, 1);
    REQUIRE_FALSE(core::ok(refused));
    CHECK(core::error(refused).code == core::ErrorCode::RolloutRunning);
    pool.run(4s, 100);
    REQUIRE(pool.rollout().state == rollouts::State::RolledBack);
    CHECK(core::ok(pool.order(other, 1)));
    CHECK(pool.rollout().order == other);
}

// Guards against a rollout that went back and starts again by an order that waited while its host was frozen.
TEST_CASE("An order that may have been given up starts no rollout")
{
    Pool pool;
    REQUIRE(core::ok(pool.order(Order)));
    pool.run(4s, 100);
    REQUIRE(pool.rollout().state == rollouts::State::RolledBack);
    pool.run(11s, 0);
    pool.freeze(1200ms);
    const auto answer = pool.order(Order);
    REQUIRE_FALSE(core::ok(answer));
    CHECK(core::error(answer).code == core::ErrorCode::OrderStale);
    CHECK(pool.rollout().number == 1);
}
