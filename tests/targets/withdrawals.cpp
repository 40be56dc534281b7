#include "targets/withdrawals.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using targets::Condition;
using targets::Target;
using targets::Withdrawals;

namespace
{

Target target(std::uint64_t incarnation, std::uint64_t sequence, Condition condition)
{
    Target made;
    made.id = core::TargetId("t");
    made.version = {incarnation, sequence};
    made.condition = condition;
    return made;
}

} // namespace

TEST_CASE("a late word that a withdrawn target is ready changes nothing, whatever its sequence")
{
    Withdrawals withdrawals;
    const auto known = withdrawals.record(target(1, 10, Condition::Leaving));
    const auto late = withdrawals.applyTo(target(1, 12, Condition::Warm));
    CHECK(late.condition == Condition::Leaving);
    CHECK(known.version > target(1, 99, Condition::Warm).version);
    CHECK(late.version > known.version);
}

TEST_CASE("a withdrawal binds one incarnation only")
{
    Withdrawals withdrawals;
    withdrawals.record(target(1, 10, Condition::Leaving));
    CHECK(withdrawals.applyTo(target(2, 1, Condition::Warm)).condition == Condition::Warm);
}

TEST_CASE("withdrawals are bounded; the oldest go first")
{
    Withdrawals withdrawals;
    for (std::size_t i = 0; i <= targets::MaxWithdrawals; ++i) {
        auto each = target(1, 1, Condition::Leaving);
        each.id = core::TargetId("t" + std::to_string(i));
        withdrawals.record(each);
    }
    CHECK(withdrawals.all().size() == targets::MaxWithdrawals);
    CHECK(withdrawals.all().front().id == core::TargetId("t1"));
}
