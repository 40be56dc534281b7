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
    made.word = {incarnation, sequence};
    made.condition = condition;
    return made;
}

} // namespace

TEST_CASE("a late word that a withdrawn target is ready changes nothing, whatever its sequence")
{
    Withdrawals withdrawals;
    const auto known = withdrawals.take(target(1, 10, Condition::Leaving));
    const auto late = withdrawals.applyTo(target(1, 12, Condition::Warm));
    CHECK(late.condition == Condition::Leaving);
    CHECK(known.word > target(1, 99, Condition::Warm).word);
    CHECK(late.word > known.word);
}

TEST_CASE("a withdrawal binds one incarnation only")
{
    Withdrawals withdrawals;
    withdrawals.take(target(1, 10, Condition::Leaving));
    CHECK(withdrawals.applyTo(target(2, 1, Condition::Warm)).condition == Condition::Warm);
}

TEST_CASE("withdrawals are bounded; the oldest go first")
{
    Withdrawals withdrawals;
    for (std::size_t i = 0; i <= targets::WithdrawalsKept; ++i) {
        auto each = target(1, 1, Condition::Leaving);
        each.id = core::TargetId("t" + std::to_string(i));
        withdrawals.take(each);
    }
    CHECK(withdrawals.all().size() == targets::WithdrawalsKept);
    CHECK(withdrawals.all().front().id == core::TargetId("t1"));
}
