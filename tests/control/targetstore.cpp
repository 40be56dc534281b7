#include "control/targetstore.h"

#include "support/files.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace pimentoshed;
using namespace std::chrono_literals;
using control::TargetStore;
using support::TemporaryFolder;
using targets::Condition;

namespace
{

targets::Target makeTarget(const std::string &id, Condition condition)
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.service = core::ServiceName("loans");
    target.domain = core::FailureDomain("ravne");
    target.address = "127.0.0.1:9000";
    target.version = {7, 3};
    target.condition = condition;
    target.slots = 6;
    return target;
}

constexpr core::Duration Lease = 6s;
const core::TimePoint Start{100s};

/** A start of a control host on a folder. */
struct ControlHost {
    explicit ControlHost(const std::string &folder)
        : registry({feed,
                    core::HostId("c1"),
                    [](const targets::Target &target) {
                        return target;
                    }})
        , store(folder,
                {registry,
                 feed,
                 [this]() {
                     return mayRestore;
                 },
                 []() {
                     return Lease;
                 }},
                Start)
    {
    }
    ~ControlHost()
    {
        store.stop();
    }

    void tick(core::TimePoint now, bool isLeader)
    {
        mayRestore = isLeader;
        store.tick(now);
    }

    bool mayRestore = false;
    membership::MembershipFeed feed;
    control::TargetRegistry registry;
    TargetStore store;
};

/** Stores @p saved in @p folder. */
void save(const std::string &folder, const std::vector<targets::Target> &saved)
{
    ControlHost host(folder);
    for (const auto &target : saved) {
        host.registry.record(target);
    }
    host.tick(Start, false);
    host.tick(Start + Lease, false);
    host.tick(Start + Lease, false);
}

/** The targets that a host restores from @p folder, by id. */
std::vector<std::string> restoredFrom(const std::string &folder)
{
    ControlHost host(folder);
    host.tick(Start, true);
    std::vector<std::string> ids;
    for (const auto &target : host.feed.targets()) {
        ids.push_back(target.id.str());
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace

TEST_CASE("targets are restored as they were stored, without those that serve no longer")
{
    const TemporaryFolder folder;
    CHECK(restoredFrom(folder.path()).empty());
    const auto warm = makeTarget("t1", Condition::Warm);
    save(folder.path(),
         {warm,
          makeTarget("t2", Condition::Cold),
          makeTarget("t3", Condition::Leaving),
          makeTarget("t4", Condition::Gone)});
    CHECK(restoredFrom(folder.path()) == std::vector<std::string>{"t1", "t2"});
    ControlHost host(folder.path());
    host.tick(Start, true);
    CHECK(host.registry.find(warm.id) == warm);
}

TEST_CASE("stored targets wait for the host to be the leader, and are dropped after a lease")
{
    const TemporaryFolder folder;
    save(folder.path(), {makeTarget("t1", Condition::Warm)});
    ControlHost host(folder.path());
    host.tick(Start, false);
    CHECK(host.feed.targetCount() == 0);
    host.tick(Start + Lease, true);
    CHECK(host.feed.targetCount() == 0);
    ControlHost leader(folder.path());
    leader.tick(Start + Lease - 1ms, true);
    CHECK(leader.feed.targetCount() == 1);
}

TEST_CASE("a restored target that doesn't announce itself is gone after its lease, a known one is not replaced")
{
    const TemporaryFolder folder;
    save(folder.path(), {makeTarget("t1", Condition::Warm), makeTarget("t2", Condition::Warm)});
    ControlHost host(folder.path());
    auto announced = makeTarget("t2", Condition::Warm);
    ++announced.version.sequence;
    announced.address = "127.0.0.1:9001";
    host.registry.record(announced);
    host.tick(Start, true);
    CHECK(host.registry.find(announced.id)->address == announced.address);
    host.registry.expire(Start + Lease);
    CHECK(host.registry.find(core::TargetId("t1"))->condition == Condition::Gone);
    CHECK(host.registry.find(announced.id)->condition == Condition::Warm);
}

// Guards against a target that is lost at a restart because the log holds the withdrawal of an earlier incarnation.
TEST_CASE("a stored target is restored although an earlier incarnation of it is known to be withdrawn")
{
    const TemporaryFolder folder;
    save(folder.path(), {makeTarget("t1", Condition::Warm)});
    ControlHost host(folder.path());
    auto withdrawn = makeTarget("t1", Condition::Gone);
    withdrawn.version = {6, 9, 0, true};
    host.registry.record(withdrawn);
    host.tick(Start, true);
    CHECK(host.registry.find(withdrawn.id)->condition == Condition::Warm);
}

TEST_CASE("a file of targets that is damaged or ends early yields no wrong targets")
{
    const TemporaryFolder folder;
    save(folder.path(), {makeTarget("t1", Condition::Warm), makeTarget("t2", Condition::Warm)});
    const auto file = folder.path() / "targets";
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
    CHECK(restoredFrom(folder.path()).size() == 1);
    std::ofstream(file, std::ios::binary) << "no frames at all, but more than a few bytes of text";
    CHECK(restoredFrom(folder.path()).empty());
}

TEST_CASE("targets that could not be stored are stored once the disk has room again, although nothing has changed")
{
    const TemporaryFolder folder;
    const auto file = std::filesystem::path(folder.path()) / "targets";
    ControlHost host(folder.path());
    host.registry.announce(makeTarget("t1", Condition::Warm), Start + Lease);
    // A folder in place of the file makes the replacement fail.
    std::filesystem::create_directories(file / "x");
    host.tick(Start + 2s, true);
    std::this_thread::sleep_for(200ms);
    REQUIRE(std::filesystem::is_directory(file));
    std::filesystem::remove_all(file);
    for (auto now = Start + 4s; now < Start + 200s && !std::filesystem::is_regular_file(file); now += 2s) {
        host.tick(now, true);
        std::this_thread::sleep_for(10ms);
    }
    CHECK(std::filesystem::is_regular_file(file));
}
