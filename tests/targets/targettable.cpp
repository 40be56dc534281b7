#include "targets/targettable.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using targets::Condition;
using targets::Target;
using targets::TargetTable;
using targets::UpdateResult;

namespace
{

const core::TimePoint Start{};

Target makeTarget(std::uint64_t incarnation, std::uint64_t sequence, Condition condition)
{
    Target target;
    target.id = core::TargetId("t1");
    target.service = core::ServiceName("loans");
    target.address = "127.0.0.1:1";
    target.version = {incarnation, sequence};
    target.condition = condition;
    return target;
}

} // namespace

TEST_CASE("TargetTable ignores an announcement that is older than the stored one")
{
    TargetTable table;
    CHECK(table.announce(makeTarget(1, 5, Condition::Leaving), Start + 1s) == UpdateResult::Changed);
    CHECK(table.update(makeTarget(1, 4, Condition::Warm)) == UpdateResult::Stale);
    CHECK(table.find(core::TargetId("t1"))->condition == Condition::Leaving);
    CHECK(table.update(makeTarget(2, 0, Condition::Cold)) == UpdateResult::Changed);
    CHECK(table.find(core::TargetId("t1"))->condition == Condition::Cold);
}

TEST_CASE("TargetTable only extends the lease when an announcement is repeated")
{
    TargetTable table;
    table.announce(makeTarget(1, 0, Condition::Warm), Start + 1s);
    CHECK(table.announce(makeTarget(1, 0, Condition::Warm), Start + 2s) == UpdateResult::Renewed);
    CHECK(table.expire(Start + 1500ms).empty());
    CHECK(table.expire(Start + 2s).size() == 1);
    CHECK(table.ofService(core::ServiceName("loans")).empty());
}

TEST_CASE("TargetTable restores a target whose lease ended when it repeats its announcement")
{
    TargetTable table;
    table.announce(makeTarget(1, 0, Condition::Warm), Start + 1s);
    table.expire(Start + 1s);
    CHECK(table.announce(makeTarget(1, 0, Condition::Warm), Start + 3s) == UpdateResult::Changed);
    CHECK(table.find(core::TargetId("t1"))->condition == Condition::Warm);
}

TEST_CASE("TargetTable of the host that keeps a lease overrides another host's report that it ended")
{
    TargetTable first;
    TargetTable second;
    first.announce(makeTarget(1, 0, Condition::Warm), Start + 1s);
    second.announce(makeTarget(1, 0, Condition::Warm), Start + 5s);
    const auto ended = first.expire(Start + 1s).front();
    CHECK(second.update(ended) == UpdateResult::Reasserted);
    const auto stored = *second.find(core::TargetId("t1"));
    CHECK(stored.condition == Condition::Warm);
    CHECK(first.update(stored) == UpdateResult::Changed);
    CHECK(first.expire(Start + 4s).empty());
}

TEST_CASE("TargetTable moves a lease to the host that receives the announcements")
{
    TargetTable first;
    TargetTable second;
    first.announce(makeTarget(1, 0, Condition::Warm), Start + 1s);
    second.update(*first.find(core::TargetId("t1")));
    second.announce(makeTarget(1, 0, Condition::Warm), Start + 5s);
    CHECK(first.update(*second.find(core::TargetId("t1"))) == UpdateResult::Changed);
    CHECK(second.update(makeTarget(1, 0, Condition::Warm)) == UpdateResult::Stale);
    CHECK(first.expire(Start + 2s).empty());
    CHECK(second.expire(Start + 5s).size() == 1);
}

TEST_CASE("TargetTable prefers the host that took a lease over to the one that ended it at the same time")
{
    TargetTable first;
    TargetTable second;
    first.announce(makeTarget(1, 0, Condition::Warm), Start + 1s);
    second.update(*first.find(core::TargetId("t1")));
    // The first host was frozen, so it ends the lease after the target has announced itself at the second host.
    second.announce(makeTarget(1, 0, Condition::Warm), Start + 5s);
    const auto takenOver = *second.find(core::TargetId("t1"));
    const auto ended = first.expire(Start + 2s).front();
    REQUIRE(ended.version == takenOver.version);
    TargetTable other;
    other.update(ended);
    CHECK(other.update(takenOver) == UpdateResult::Changed);
    CHECK(other.find(core::TargetId("t1"))->condition == Condition::Warm);
    CHECK(other.update(ended) == UpdateResult::Renewed);
    CHECK(other.find(core::TargetId("t1"))->condition == Condition::Warm);
    CHECK(first.update(takenOver) == UpdateResult::Changed);
    CHECK(second.update(ended) == UpdateResult::Reasserted);
    CHECK(second.find(core::TargetId("t1"))->version > ended.version);
}

TEST_CASE("TargetTable releases a lease only to the host from which it was adopted")
{
    const core::HostId keeper("e1");
    TargetTable table;
    auto target = makeTarget(1, 0, Condition::Warm);
    target.origin = keeper;
    table.announce(target, Start + 1s);
    table.releaseLease(target.id, core::HostId("e2"));
    table.releaseLease(target.id, keeper);
    CHECK(table.expire(Start + 2s).empty());
    table.adoptLeases(keeper, Start + 3s);
    table.releaseLease(target.id, core::HostId("e2"));
    CHECK(table.expire(Start + 3s).size() == 1);
}

// Guards against a withdrawal that routing ignores, because the host that received it did not know the target's
// service.
TEST_CASE("TargetTable adds the known details of a target to a withdrawal that names only its incarnation")
{
    std::vector<Target> changes;
    TargetTable table([&changes](const Target &target) {
        changes.push_back(target);
    });
    const auto announced = makeTarget(2, 5, Condition::Warm);
    table.announce(announced, Start + 1s);
    Target withdrawal;
    withdrawal.id = announced.id;
    withdrawal.version = {2, 1, 0, true};
    withdrawal.condition = Condition::Gone;
    CHECK(table.update(withdrawal) == UpdateResult::Changed);
    CHECK(changes.back().service == announced.service);
    CHECK(changes.back().address == announced.address);
    CHECK(changes.back().condition == Condition::Gone);
    CHECK(table.ofService(announced.service).empty());
}

// Guards against two hosts that both keep a target's lease, one of which ends it although the target announces itself.
TEST_CASE("the first announcement of a target whose lease was only adopted is a change that other hosts learn of")
{
    TargetTable table;
    auto reported = makeTarget(1, 5, Condition::Warm);
    reported.origin = core::HostId("c1");
    table.update(reported);
    table.adoptLeases(reported.origin, Start + 1s);
    auto announced = reported;
    ++announced.version.sequence;
    CHECK(table.announce(announced, Start + 2s) == UpdateResult::Changed);
    ++announced.version.sequence;
    CHECK(table.announce(announced, Start + 3s) == UpdateResult::Renewed);
    table.adoptLeases(reported.origin, Start + 4s);
    announced.origin = core::HostId("c2");
    ++announced.version.sequence;
    CHECK(table.announce(announced, Start + 4s) == UpdateResult::Changed);
}
