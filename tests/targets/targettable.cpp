#include "targets/targettable.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using targets::Condition;
using targets::Reception;
using targets::Target;
using targets::TargetTable;

namespace
{

const core::TimePoint Start{};

Target makeTarget(std::uint64_t incarnation, std::uint64_t sequence, Condition condition)
{
    Target target;
    target.id = core::TargetId("t1");
    target.service = core::ServiceName("loans");
    target.address = "127.0.0.1:1";
    target.word = {incarnation, sequence};
    target.condition = condition;
    return target;
}

} // namespace

TEST_CASE("an older word never replaces a newer one")
{
    TargetTable table;
    CHECK(table.announce(makeTarget(1, 5, Condition::Leaving), Start + 1s) == Reception::Changed);
    CHECK(table.learn(makeTarget(1, 4, Condition::Warm)) == Reception::Stale);
    CHECK(table.find(core::TargetId("t1"))->condition == Condition::Leaving);
    CHECK(table.learn(makeTarget(2, 0, Condition::Cold)) == Reception::Changed);
    CHECK(table.find(core::TargetId("t1"))->condition == Condition::Cold);
}

TEST_CASE("a renewal changes nothing but the lease")
{
    TargetTable table;
    table.announce(makeTarget(1, 0, Condition::Warm), Start + 1s);
    CHECK(table.announce(makeTarget(1, 0, Condition::Warm), Start + 2s) == Reception::Renewed);
    CHECK(table.expire(Start + 1500ms).empty());
    CHECK(table.expire(Start + 2s).size() == 1);
    CHECK(table.ofService(core::ServiceName("loans")).empty());
}
