#include "control/targetstore.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace pimentoshed;
using control::TargetStore;
using namespace std::chrono_literals;
using targets::Condition;

namespace
{

/** A temporary folder that is removed at the end. */
struct Folder {
    Folder()
    {
        REQUIRE(mkdtemp(name.data()) != nullptr);
    }
    ~Folder()
    {
        std::filesystem::remove_all(name);
    }

    std::string name = std::filesystem::temp_directory_path() / "pimentoshed-targets-XXXXXX";
};

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
        , store(folder, {registry, feed}, Start + Lease)
    {
    }
    ~ControlHost()
    {
        store.stop();
    }

    void tick(core::TimePoint now, bool mayRestore)
    {
        store.tick(now, mayRestore, now + Lease);
    }

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
    const Folder folder;
    CHECK(restoredFrom(folder.name).empty());
    const auto warm = makeTarget("t1", Condition::Warm);
    save(folder.name,
         {warm,
          makeTarget("t2", Condition::Cold),
          makeTarget("t3", Condition::Leaving),
          makeTarget("t4", Condition::Gone)});
    CHECK(restoredFrom(folder.name) == std::vector<std::string>{"t1", "t2"});
    ControlHost host(folder.name);
    host.tick(Start, true);
    CHECK(host.registry.find(warm.id) == warm);
}

TEST_CASE("stored targets wait for the host to be the leader, and are dropped after a lease")
{
    const Folder folder;
    save(folder.name, {makeTarget("t1", Condition::Warm)});
    ControlHost host(folder.name);
    host.tick(Start, false);
    CHECK(host.feed.targetCount() == 0);
    host.tick(Start + Lease, true);
    CHECK(host.feed.targetCount() == 0);
    ControlHost leader(folder.name);
    leader.tick(Start + Lease - 1ms, true);
    CHECK(leader.feed.targetCount() == 1);
}

TEST_CASE("a restored target that doesn't announce itself is gone after its lease, a known one is not replaced")
{
    const Folder folder;
    save(folder.name, {makeTarget("t1", Condition::Warm), makeTarget("t2", Condition::Warm)});
    ControlHost host(folder.name);
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

TEST_CASE("a file of targets that is damaged or ends early yields no wrong targets")
{
    const Folder folder;
    save(folder.name, {makeTarget("t1", Condition::Warm), makeTarget("t2", Condition::Warm)});
    const auto file = folder.name + "/targets";
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
    CHECK(restoredFrom(folder.name).size() == 1);
    std::ofstream(file, std::ios::binary) << "no frames at all, but more than a few bytes of text";
    CHECK(restoredFrom(folder.name).empty());
}
