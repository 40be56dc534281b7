#include "processes/platformfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <memory>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** How long a confirmed removal may take to reach every entry host. */
constexpr auto RemovalLimit = 2s;

/** A fleet with a target that serves, and another one that has left, was started again under its id and serves too. */
class RemovalTest
{
public:
    explicit RemovalTest(unsigned subnet, unsigned controlHosts)
        : m_fleet(subnet, 1, 1s, controlHosts)
        , m_other("i-other", m_fleet.targetAddress(0), 1ms, succeed)
    {
        REQUIRE(m_other.announce(m_fleet.controlAddress()) == 200);
        removeEarlier();
        m_later = std::make_unique<PlatformTarget>("i-again",
                                                   m_fleet.targetAddress(1),
                                                   1ms,
                                                   succeed,
                                                   core::Duration{},
                                                   PlatformTarget::FirstIncarnation + 60'000);
        REQUIRE(m_later->announce(m_fleet.controlAddress()) == 200);
        REQUIRE(eventually(
            [this]() {
                m_fleet.load(40, 250ms);
                return m_later->requests().size() > 20;
            },
            10s));
        m_later->stopAnnouncing();
    }

    PlatformFleet &fleet()
    {
        return m_fleet;
    }

    PlatformTarget &later()
    {
        return *m_later;
    }

    /** Removes the later incarnation at the control hosts @p controls in turn until one of them confirms that. */
    void removeLater(const std::vector<unsigned> &controls)
    {
        REQUIRE(eventually(
            [this, &controls]() {
                return std::any_of(controls.begin(), controls.end(), [this](unsigned control) {
                    return m_later->remove(m_fleet.controlAddress(control)) == 200;
                });
            },
            10s));
    }

    /** Checks that requests reach only the other target once the removal must have taken effect. */
    void checkRemoved()
    {
        std::this_thread::sleep_for(RemovalLimit);
        const auto before = m_later->requests().size();
        const auto otherBefore = m_other.requests().size();
        m_fleet.load(40, 2s);
        CHECK(m_later->requests().size() == before);
        CHECK(m_other.requests().size() > otherBefore + 40);
    }

private:
    void removeEarlier()
    {
        PlatformTarget earlier("i-again", m_fleet.targetAddress(1), 1ms, succeed);
        REQUIRE(earlier.announce(m_fleet.controlAddress()) == 200);
        REQUIRE(m_fleet.waitUntilServing());
        REQUIRE(earlier.announce(m_fleet.controlAddress(), "draining") == 200);
        REQUIRE(earlier.remove(m_fleet.controlAddress()) == 200);
    }

    PlatformFleet m_fleet;
    PlatformTarget m_other;
    std::unique_ptr<PlatformTarget> m_later;
};

} // namespace

// Guards against a confirmed removal that withdraws an earlier incarnation, so that requests still reach the target.
TEST_CASE("a removal binds the latest incarnation, although the control host knows only an earlier one after a restart")
{
    RemovalTest test(81, 1);
    test.fleet().restartControls();
    test.removeLater({0});
    test.checkRemoved();
}

// The same when no other control host can report the latest incarnation, because all of them have restarted too.
TEST_CASE("a removal binds the latest incarnation, although all control hosts have restarted")
{
    RemovalTest test(86, 3);
    // Targets are stored once a second, so a later incarnation may be missing there.
    test.fleet().restartControls([](const std::string &dataFolder) {
        std::filesystem::remove(dataFolder + "/targets");
    });
    test.removeLater({2, 1, 0});
    test.checkRemoved();
}

// Guards against a confirmation on the minority side of a partition, while a later incarnation serves on the other one.
TEST_CASE("a removal that names no incarnation is not confirmed without a quorum, although an earlier one is withdrawn")
{
    RemovalTest test(87, 3);
    test.removeLater({1});
    test.fleet().control(0).signal(SIGSTOP);
    test.fleet().control(2).signal(SIGSTOP);
    // Longer than the lease of a target, after which a host doesn't wait for silent ones.
    std::this_thread::sleep_for(7s);
    CHECK(test.later().remove(test.fleet().controlAddress(1)) == 503);
    test.fleet().control(0).signal(SIGCONT);
    test.fleet().control(2).signal(SIGCONT);
    test.removeLater({1});
}
