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
    Target result;
    result.id = core::TargetId("t");
    result.version = {incarnation, sequence};
    result.condition = condition;
    return result;
}

} // namespace

TEST_CASE("a withdrawn target stays withdrawn when it announces later that it is warm, whatever the sequence")
{
    Withdrawals withdrawals;
    const auto recorded = withdrawals.record(target(1, 10, Condition::Leaving));
    const auto late = withdrawals.applyTo(target(1, 12, Condition::Warm));
    CHECK(late.condition == Condition::Leaving);
    CHECK(recorded.version > target(1, 99, Condition::Warm).version);
    CHECK(late.version > recorded.version);
}

TEST_CASE("a withdrawal does not apply to a later incarnation")
{
    Withdrawals withdrawals;
    withdrawals.record(target(1, 10, Condition::Leaving));
    CHECK(withdrawals.applyTo(target(2, 1, Condition::Warm)).condition == Condition::Warm);
}

TEST_CASE("the number of withdrawals is bounded and the oldest is dropped first")
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
