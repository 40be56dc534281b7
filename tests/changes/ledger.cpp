#include "changes/ledger.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using changes::ApplyFile;
using changes::Ledger;
using changes::MoveDomain;

namespace
{

const core::FailureDomain Ravne{"ravne"};

ApplyFile file(const std::string &id, unsigned replaces)
{
    return {core::ChangeId(id),
            "replaces = " + std::to_string(replaces) + "\nfailure_domains = [\"ravne\", \"dravograd\"]\n"};
}

} // namespace

TEST_CASE("of two files that replace the same version one wins and the other learns of it")
{
    Ledger ledger;
    CHECK(core::ok(ledger.apply(file("a", 0))));
    const auto second = ledger.apply(file("b", 0));
    REQUIRE(!core::ok(second));
    CHECK(core::error(second).code == core::ErrorCode::VersionConflict);
    CHECK_THAT(core::error(second).detail, Catch::Matchers::Contains("change a"));
}

TEST_CASE("a change sent again gets its first answer and takes effect once")
{
    Ledger ledger;
    const auto first = ledger.apply(file("a", 0));
    CHECK(core::ok(ledger.apply(file("b", 1))));
    CHECK(ledger.apply(file("a", 0)) == first);
    CHECK(ledger.standing().version == 2);
}

TEST_CASE("a file does not return a failure domain that is out")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    CHECK(core::ok(ledger.apply(MoveDomain{core::ChangeId("out"), Ravne, true, 0})));
    CHECK(core::ok(ledger.apply(file("b", 1))));
    CHECK(changes::isOut(ledger.standing(), Ravne));
}

TEST_CASE("a late take-out that a return overtook changes nothing")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    ledger.apply(MoveDomain{core::ChangeId("out"), Ravne, true, 0});
    ledger.apply(MoveDomain{core::ChangeId("in"), Ravne, false, 1});
    const auto late = ledger.apply(MoveDomain{core::ChangeId("another"), Ravne, true, 0});
    REQUIRE(!core::ok(late));
    CHECK(core::error(late).code == core::ErrorCode::ChangeSuperseded);
    CHECK(!changes::isOut(ledger.standing(), Ravne));
}
