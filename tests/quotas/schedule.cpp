#include "quotas/fleet.h"

#include <array>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::quotas;
using testing::Faults;
using testing::Fleet;

namespace
{

configuration::Workspace workspace(const std::string &name, double rate, double burst)
{
    configuration::Workspace made;
    made.name = core::WorkspaceName(name);
    made.requestsPerSecond = rate;
    made.burst = burst;
    return made;
}

double bound(const configuration::Workspace &workspace)
{
    const Limit limit{workspace.requestsPerSecond, workspace.burst};
    return limit.rate * core::toSeconds(Window) + limit.burst + tolerance(limit);
}

/** One host in three gets @p share of a workspace's requests, the others the rest. */
void askUnevenly(Fleet &fleet, std::size_t hosts, std::size_t workspace, double perSecond, double length = Fleet::Cycle)
{
    for (std::size_t host = 0; host < hosts; ++host) {
        const bool isUsual = (host + workspace) % 3 == 0;
        fleet.ask(host, workspace, perSecond * (isUsual ? 2.4 : 0.3) / static_cast<double>(hosts), length);
    }
}

} // namespace

TEST_CASE("No window of a schedule with faults exceeds the quota", "[quotas]")
{
    constexpr std::size_t Hosts = 24;
    constexpr double Seconds = 30;
    const Fleet::Workspaces workspaces{workspace("large", 120, 60),
                                       workspace("middle", 20, 10),
                                       workspace("small", 2, 2),
                                       workspace("sparse", 0.5, 0)};
    const std::array faultSets{
        Faults{.lost = 0.02,
               .late = 0.02,
               .repeated = 0.05,
               .leaderChange = 4,
               .cut = 3,
               .freeze = 3,
               .restart = 6,
               .clockDrift = 0.04},
        Faults{.leaderChange = 3, .clockDrift = 0.04},
        Faults{.lost = 0.2, .late = 0.2, .repeated = 0.4},
        Faults{.cut = 0.5, .freeze = 0.5, .restart = 2},
    };
    double closest = 0;
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        Fleet fleet(seed, Hosts, workspaces, faultSets.at(seed % faultSets.size()));
        for (std::size_t index = 0; index < workspaces.size(); ++index) {
            // Half of each cycle is quiet, so that the rest finds full buckets.
            askUnevenly(fleet, Hosts, index, 4 * workspaces[index].requestsPerSecond + 6, Fleet::Cycle / 2);
        }
        fleet.runUntil(Seconds);
        for (std::size_t index = 0; index < workspaces.size(); ++index) {
            const auto most = static_cast<double>(fleet.mostInWindow(index));
            INFO("seed " << seed << ", workspace " << workspaces[index].name.str());
            CHECK(most <= bound(workspaces[index]));
            CHECK(fleet.runCount(index) > 0);
            closest = std::max(closest, most / bound(workspaces[index]));
        }
    }
    // Otherwise the schedules would not press the quota.
    CHECK(closest > 0.8);
}

TEST_CASE("In calm, what is asked below the limit is admitted", "[quotas]")
{
    constexpr std::size_t Hosts = 142;
    const Fleet::Workspaces workspaces{workspace("large", 100, 20),
                                       workspace("middle", 10, 5),
                                       workspace("small", 1, 1),
                                       workspace("hourly", 1.0 / 3600, 1)};
    Fleet fleet(1, Hosts, workspaces, {0, 0, 0, 0, 0, 0, 0, 0.01});
    fleet.runUntil(10);
    for (std::size_t index = 0; index < 3; ++index) {
        askUnevenly(fleet, Hosts, index, 0.8 * workspaces[index].requestsPerSecond);
    }
    fleet.ask(7, 3, 0.5);
    fleet.runUntil(20);
    INFO("asked " << fleet.asked << ", over " << fleet.verdicts[Verdict::OverQuota] << ", unknown "
                  << fleet.verdicts[Verdict::Unknown] << ", calls " << fleet.calls);
    CHECK(static_cast<double>(fleet.verdicts[Verdict::Admitted]) >= 0.97 * static_cast<double>(fleet.asked));
    CHECK(fleet.runCount(3) > 0);
}

TEST_CASE("A workspace that asks for more than its limit gets nine tenths of it at least", "[quotas]")
{
    constexpr std::size_t Hosts = 40;
    const Fleet::Workspaces workspaces{workspace("hot", 40, 10), workspace("other", 10, 5)};
    Fleet fleet(1, Hosts, workspaces, {});
    askUnevenly(fleet, Hosts, 0, 400);
    askUnevenly(fleet, Hosts, 1, 8);
    fleet.runUntil(20);
    CHECK(static_cast<double>(fleet.runCount(0)) >= 0.9 * 40 * 19);
    CHECK(static_cast<double>(fleet.runCount(1)) >= 0.9 * 0.98 * 8 * 19);
    CHECK(static_cast<double>(fleet.mostInWindow(0)) <= bound(workspaces[0]));
    CHECK(fleet.calls <= 20 * Hosts * 10);
}

TEST_CASE("A lower limit holds one window after the hosts know it, a higher one at once", "[quotas]")
{
    constexpr std::size_t Hosts = 20;
    const Fleet::Workspaces before{workspace("falls", 100, 200), workspace("rises", 5, 5)};
    const Fleet::Workspaces after{workspace("falls", 10, 5), workspace("rises", 100, 20)};
    Fleet fleet(3, Hosts, before, {0, 0, 0, 0, 0, 0, 0, 0.02});
    askUnevenly(fleet, Hosts, 0, 200);
    askUnevenly(fleet, Hosts, 1, 90);
    fleet.runUntil(10);
    const auto earlier = fleet.runCount(1);
    fleet.configure(after);
    fleet.runUntil(25);
    CHECK(static_cast<double>(fleet.mostInWindow(0)) <= bound(before[0]));
    CHECK(static_cast<double>(fleet.mostInWindow(0, 11)) <= bound(after[0]));
    // One in fifty is not run by its target.
    CHECK(static_cast<double>(fleet.runCount(1) - earlier) >= 0.95 * 0.98 * 90 * 14);
}

TEST_CASE("Without the control hosts the hosts share the reserve", "[quotas]")
{
    constexpr std::size_t Hosts = 30;
    const Fleet::Workspaces workspaces{workspace("alone", 20, 10)};
    // Every host is cut off, again and again.
    Fleet fleet(2, Hosts, workspaces, {1, 0, 0, 0, 0, 0, 0, 0.01});
    askUnevenly(fleet, Hosts, 0, 100);
    fleet.runUntil(30);
    const auto perPeriod = reserve({20, 10});
    CHECK(fleet.runCount(0) >= std::size_t{2} * perPeriod);
    CHECK(fleet.mostInWindow(0) <= perPeriod);
    CHECK(fleet.verdicts[Verdict::OverQuota] == 0);
    CHECK(fleet.verdicts[Verdict::Unknown] > 0);
}
