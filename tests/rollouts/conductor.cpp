#include "rollouts/conductor.h"

#include "core/random.h"
#include "rollouts/counttable.h"

#include <catch2/catch.hpp>
#include <functional>
#include <vector>

using namespace pimentoshed;
using namespace pimentoshed::rollouts;
using namespace std::chrono_literals;

namespace
{

const core::ServiceName Service("a");
constexpr auto Over = 16s;
constexpr core::Duration Period = 100ms;
/** Time until a decision is in force at all entry hosts, and until a report is counted. */
constexpr core::Duration Delay = 300ms;
constexpr double Exposure = 0.1;
constexpr double ExposureSlack = 50;

/** How one version responds at a moment of the rollout. */
struct Behaviour {
    double failing = 0.004;
    double slow = 0.03;
};

/** Returns how a version responds, from the time since the order, its share and the route. */
using Version = std::function<Behaviour(core::Duration, double, const core::RouteName &)>;

struct Route {
    core::RouteName name;
    double requestsPerSecond;
};

struct Outcome {
    Rollout rollout;
    core::Duration ended{};
    /** Requests that the new version and all versions got. */
    double exposed = 0;
    double requests = 0;
    /** Time from the 50th bad answer of the new version to the last request that it got. */
    core::Duration afterBad{};
};

/** A service whose requests, responses and reports are simulated, with one conductor after another. */
class Simulation
{
public:
    Simulation(std::uint64_t seed, Version oldVersion, Version newVersion)
        : m_random(core::seededRandom(seed))
        , m_old(std::move(oldVersion))
        , m_new(std::move(newVersion))
    {
        m_rollout.order = {Service, "v2", Over};
    }

    Simulation &routes(std::vector<Route> routes)
    {
        m_routes = std::move(routes);
        return *this;
    }

    /** Loses the leader at the start of each step: the next one gets all counts with its first decision. */
    Simulation &losesLeaders()
    {
        m_losesLeaders = true;
        return *this;
    }

    Simulation &room(std::function<Room(core::Duration)> room)
    {
        m_room = std::move(room);
        return *this;
    }

    Outcome run()
    {
        Conductor conductor(m_rollout, {});
        for (core::Duration at{}; at < Over; at += Period) {
            send(at);
            const auto reported = at < Delay ? RouteCounts() : m_history[history(at - Delay)];
            const core::TimePoint now(at);
            conductor.follow(m_rollout, now);
            const auto move = conductor.decide(reported, {now, m_room(at), 3s});
            if (move) {
                apply(*move, at);
                if (m_losesLeaders) {
                    conductor = Conductor(m_rollout, now);
                }
            }
        }
        m_outcome.rollout = m_rollout;
        return m_outcome;
    }

private:
    static std::size_t history(core::Duration at)
    {
        return static_cast<std::size_t>(at / Period);
    }

    void apply(const Move &move, core::Duration at)
    {
        REQUIRE(core::ok(m_rollout.apply(move)));
        m_changes.emplace_back(at + Delay, m_rollout.share());
        if (m_rollout.state != State::Running) {
            m_outcome.ended = at;
        }
    }

    double shareInForce(core::Duration at) const
    {
        double share = Steps.front().permille / 1000.0;
        for (const auto &[from, changed] : m_changes) {
            share = at >= from ? changed : share;
        }
        return share;
    }

    bool chance(double probability) const
    {
        constexpr std::uint64_t Scale = 1U << 30U;
        return static_cast<double>(core::randomBelow(m_random, Scale)) < probability * static_cast<double>(Scale);
    }

    void send(core::Duration at)
    {
        const auto share = shareInForce(at);
        for (const auto &route : m_routes) {
            m_due[route.name] += route.requestsPerSecond * core::toSeconds(Period);
            for (; m_due[route.name] >= 1; m_due[route.name] -= 1) {
                request(route, at, share);
            }
        }
        m_history.push_back(m_counts);
    }

    void request(const Route &route, core::Duration at, double share)
    {
        const bool isNew = chance(share);
        const auto behaviour = (isNew ? m_new : m_old)(at, share, route.name);
        auto &compared = m_counts[route.name];
        auto &counts = isNew ? compared.newVersion : compared.oldVersions;
        const bool fails = chance(behaviour.failing);
        const bool isSlow = chance(behaviour.slow);
        ++counts.responses;
        if (fails) {
            ++counts.failures;
        } else {
            ++counts.durations.at(bucketOf(isSlow ? 900ms : 140ms));
        }
        m_outcome.requests += 1;
        if (!isNew) {
            return;
        }
        m_outcome.exposed += 1;
        m_bad += (fails || isSlow) ? 1 : 0;
        if (m_bad == 50 && m_badAt == core::Duration{}) {
            m_badAt = at;
        }
        if (m_badAt > core::Duration{}) {
            m_outcome.afterBad = at - m_badAt;
        }
    }

    core::RandomSource m_random;
    const Version m_old;
    const Version m_new;
    std::vector<Route> m_routes{{core::RouteName("r"), 330}};
    std::function<Room(core::Duration)> m_room = [](core::Duration) {
        return Room{256, 256};
    };
    bool m_losesLeaders = false;
    Rollout m_rollout;
    RouteCounts m_counts;
    std::vector<RouteCounts> m_history;
    std::map<core::RouteName, double> m_due;
    std::vector<std::pair<core::Duration, double>> m_changes;
    unsigned m_bad = 0;
    core::Duration m_badAt{};
    Outcome m_outcome;
};

Version always(Behaviour behaviour)
{
    return [behaviour](core::Duration, double, const core::RouteName &) {
        return behaviour;
    };
}

Version from(core::Duration start, Behaviour behaviour)
{
    return [start, behaviour](core::Duration at, double, const core::RouteName &) {
        return at >= start ? behaviour : Behaviour{};
    };
}

Version underLoad(double share, Behaviour behaviour)
{
    return [share, behaviour](core::Duration, double current, const core::RouteName &) {
        return current >= share ? behaviour : Behaviour{};
    };
}

constexpr Behaviour Failing{0.44, 0.03};
constexpr Behaviour Slow{0.004, 0.5};
constexpr std::uint64_t Seeds = 40;

void checkTakenBack(const std::function<Simulation(std::uint64_t)> &make, Reason reason)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto outcome = make(seed).run();
        INFO("seed " << seed << ", exposed " << outcome.exposed << " of " << outcome.requests << ", ended after "
                     << core::toSeconds(outcome.ended) << " s, went on for " << core::toSeconds(outcome.afterBad));
        CHECK(outcome.rollout.state == State::RolledBack);
        CHECK(outcome.rollout.reason == reason);
        CHECK(outcome.exposed <= Exposure * outcome.requests + ExposureSlack);
        CHECK(outcome.afterBad <= 5s);
    }
}

void checkComplete(const std::function<Simulation(std::uint64_t)> &make)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto outcome = make(seed).run();
        INFO("seed " << seed << ", step " << outcome.rollout.step << ", ended after " << core::toSeconds(outcome.ended)
                     << " s");
        CHECK(outcome.rollout.state == State::Complete);
        CHECK(outcome.ended < Over);
    }
}

} // namespace

TEST_CASE("A version that is bad at once is taken back within its exposure")
{
    const auto behaviour = GENERATE(values<Behaviour>({Failing, {1, 0}, {0.3, 0.03}}));
    checkTakenBack(
        [behaviour](std::uint64_t seed) {
            return Simulation(seed, always({}), always(behaviour));
        },
        Reason::Failures);
}

TEST_CASE("A version that is only slow is taken back within its exposure")
{
    checkTakenBack(
        [](std::uint64_t seed) {
            return Simulation(seed, always({}), always(Slow));
        },
        Reason::Durations);
}

TEST_CASE("A version that turns bad later is taken back within its exposure")
{
    const auto start = std::chrono::milliseconds(GENERATE(2400, 3000, 5000, 7000, 8000));
    checkTakenBack(
        [start](std::uint64_t seed) {
            return Simulation(seed, always({}), from(start, Failing));
        },
        Reason::Failures);
}

TEST_CASE("A version that is bad only under load is taken back within its exposure")
{
    const auto share = GENERATE(0.1, 0.3, 0.9);
    checkTakenBack(
        [share](std::uint64_t seed) {
            return Simulation(seed, always({}), underLoad(share, Failing));
        },
        Reason::Failures);
}

TEST_CASE("A version that is bad on one route only is taken back within its exposure")
{
    const core::RouteName bad("bad");
    const Version version = [bad](core::Duration, double, const core::RouteName &route) {
        return route == bad ? Failing : Behaviour{};
    };
    const auto perSecond = GENERATE(100.0, 300.0);
    checkTakenBack(
        [&](std::uint64_t seed) {
            return Simulation(seed, always({}), version)
                .routes({{bad, perSecond}, {core::RouteName("good"), 330 - perSecond}});
        },
        Reason::Failures);
}

namespace
{

/** A version that is bad on a route with 8 % of the requests. */
Outcome runBadOnSmallRoute(std::uint64_t seed)
{
    const core::RouteName bad("bad");
    const Version version = [bad](core::Duration, double, const core::RouteName &route) {
        return route == bad ? Failing : Behaviour{};
    };
    return Simulation(seed, always({}), version).routes({{bad, 26}, {core::RouteName("good"), 304}}).run();
}

} // namespace

TEST_CASE("A version that is bad on a small route only is never complete and rarely undecided in time")
{
    unsigned undecided = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto outcome = runBadOnSmallRoute(seed);
        INFO("seed " << seed);
        CHECK(outcome.rollout.state != State::Complete);
        undecided += outcome.rollout.state == State::Running ? 1 : 0;
    }
    CHECK(undecided <= Seeds / 20);
}

TEST_CASE("A version that is bad on a small route only stays within its exposure")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto outcome = runBadOnSmallRoute(seed);
        INFO("seed " << seed);
        CHECK(outcome.exposed <= Exposure * outcome.requests + ExposureSlack);
    }
}

TEST_CASE("A good version gets all requests in time")
{
    const auto perSecond = GENERATE(78.0, 330.0, 3000.0);
    checkComplete([perSecond](std::uint64_t seed) {
        return Simulation(seed, always({}), always({})).routes({{core::RouteName("r"), perSecond}});
    });
}

TEST_CASE("A good version of a service with many routes, one of which always fails, gets all requests in time")
{
    const auto perSecond = GENERATE(4.0, 30.0);
    const Version version = [](core::Duration, double, const core::RouteName &route) {
        return route.str() == "r0" ? Behaviour{1, 0} : Behaviour{};
    };
    constexpr int RouteCount = 12;
    std::vector<Route> routes;
    routes.reserve(RouteCount);
    for (int route = 0; route < RouteCount; ++route) {
        routes.push_back({core::RouteName("r" + std::to_string(route)), perSecond});
    }
    checkComplete([&](std::uint64_t seed) {
        return Simulation(seed, version, version).routes(routes);
    });
}

TEST_CASE("A good version gets all requests in time while both versions suffer alike")
{
    const auto behaviour = GENERATE(values<Behaviour>({{0.3, 0.03}, {0.01, 0.4}}));
    const auto start = std::chrono::seconds(GENERATE(0, 3, 8));
    checkComplete([&](std::uint64_t seed) {
        return Simulation(seed, from(start, behaviour), from(start, behaviour));
    });
}

TEST_CASE("A good version gets all requests in time while a few of its targets are slow")
{
    checkComplete([](std::uint64_t seed) {
        return Simulation(seed, always({}), always({0.004, 0.12}));
    });
}

TEST_CASE("Leaders that are lost at each step change neither outcome")
{
    checkComplete([](std::uint64_t seed) {
        return Simulation(seed, always({}), always({})).losesLeaders();
    });
    checkTakenBack(
        [](std::uint64_t seed) {
            return Simulation(seed, always({}), from(7s, Failing)).losesLeaders();
        },
        Reason::Failures);
}

TEST_CASE("A version without room gets no larger share")
{
    const auto outcome = Simulation(1, always({}), always({}))
                             .room([](core::Duration) {
                                 return Room{40, 256};
                             })
                             .run();
    CHECK(outcome.rollout.state == State::Running);
    CHECK(outcome.rollout.share() < 0.32);
}

TEST_CASE("Without responses a rollout waits")
{
    Rollout rollout;
    rollout.order = {Service, "v2", Over};
    Conductor conductor(rollout, {});
    for (core::Duration at{}; at < 60s; at += Period) {
        CHECK_FALSE(conductor.decide({}, {core::TimePoint(at), {256, 256}, 3s}));
    }
}

TEST_CASE("Time since the order goes on from the step when a host restarts")
{
    Rollout rollout;
    rollout.order = {Service, "v2", Over};
    rollout.step = 1;
    rollout.elapsed = 7s;
    const core::TimePoint start(100s);
    const Conductor conductor(rollout, start);
    CHECK(conductor.elapsed(start + 2s) == 9s);
}

TEST_CASE("Repeated, late and lost reports change no totals")
{
    CountTable table;
    HostCounts report{core::HostId("e"), 1, Service, 3, core::RouteName("r"), {}};
    report.counts.newVersion.responses = 5;
    table.record(report);
    auto newer = report;
    newer.counts.newVersion.responses = 9;
    table.record(newer);
    table.record(report);
    auto other = report;
    other.incarnation = 2;
    table.record(other);
    CHECK(table.sum(Service, 3).at(core::RouteName("r")).newVersion.responses == 14);
    auto older = report;
    older.number = 2;
    table.record(older);
    CHECK(table.sum(Service, 2).empty());
    CHECK(table.sum(Service, 3).at(core::RouteName("r")).newVersion.responses == 14);
}
