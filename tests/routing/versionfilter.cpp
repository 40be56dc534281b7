#include "fixture.h"
#include "routing/servicerouter.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;

namespace
{

targets::Target makeVersion(const std::string &id, const std::string &softwareVersion)
{
    auto target = makeTarget(id);
    target.softwareVersion = softwareVersion;
    return target;
}

/** Two targets of version v1, one of v2 and one that names none; a tenth of the requests goes to v2. */
routing::ServiceRouter makeDividedRouter(double share)
{
    routing::RouterHooks hooks;
    hooks.picker = routing::makePicker(routing::PickerKind::LeastExpectedTime);
    hooks.random = core::seededRandom(11);
    hooks.versionShare = [share](const core::ServiceName &) {
        return rollouts::VersionShare{"v2", share};
    };
    routing::ServiceRouter router(makeService(), core::FailureDomain("ravne"), hooks);
    router.update(makeVersion("a", "v1"));
    router.update(makeVersion("b", "v1"));
    router.update(makeVersion("new", "v2"));
    router.update(makeVersion("unnamed", ""));
    return router;
}

} // namespace

TEST_CASE("a request that is restricted to a software version gets and probes only targets that match")
{
    auto router = makeDividedRouter(0.5);
    const bool only = GENERATE(true, false);
    routing::AssignOptions options;
    options.softwareVersion = routing::VersionFilter{"v2", only};
    CHECK(router.shortlist(Start, options, 4).size() == (only ? 1 : 3));
    for (int i = 0; i < 3; ++i) {
        const auto assigned = router.assign(Start, options);
        REQUIRE(core::ok(assigned));
        CHECK((core::value(assigned).target->id == core::TargetId("new")) == only);
    }
    // The slots of the only matching target are taken; the others are free.
    CHECK(core::ok(router.assign(Start, options)) != only);
    // A version that no target has.
    options.softwareVersion = routing::VersionFilter{"v3", only};
    CHECK(core::ok(router.assign(Start, options)) != only);
}

TEST_CASE("requests are divided between versions by share while both sides have serving targets")
{
    auto router = makeDividedRouter(0.1);
    unsigned moved = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto chosen = router.chooseVersion();
        REQUIRE(chosen);
        CHECK(chosen->filter().version == "v2");
        moved += chosen->only ? 1 : 0;
    }
    // Four standard deviations of a tenth of 2,000.
    CHECK(moved > 200 - 54);
    CHECK(moved < 200 + 54);
    auto gone = makeVersion("new", "v2");
    gone.condition = targets::Condition::Leaving;
    gone.version = {1, 1};
    router.update(gone);
    const auto rest = router.chooseVersion();
    REQUIRE(rest);
    CHECK_FALSE(rest->only);
}
