#include "entry/clusterview.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using configuration::WhenStale;

namespace
{

const core::TimePoint Start{100s};

changes::ActiveConfiguration makeActive(std::uint64_t revision, WhenStale whenStale)
{
    auto configuration = std::make_shared<configuration::Configuration>();
    configuration->limits.whenStale = whenStale;
    changes::ActiveConfiguration active;
    active.revision = revision;
    active.configuration = std::move(configuration);
    return active;
}

} // namespace

// Guards against acting on the snapshot of a control host that has restarted or is cut off.
TEST_CASE("a configuration that was never confirmed is not acted on, even by hosts that serve when stale")
{
    const auto whenStale = GENERATE(WhenStale::Serve, WhenStale::Refuse);
    entry::ClusterView view;
    view.adopt(makeActive(3, whenStale));
    CHECK_FALSE(view.hasConfirmedConfiguration());
    CHECK_FALSE(core::ok(view.current(Start)));
    view.confirm(4, Start);
    CHECK_FALSE(core::ok(view.current(Start)));
    view.adopt(makeActive(4, whenStale));
    CHECK_FALSE(core::ok(view.current(Start)));
    view.confirm(4, Start);
    CHECK(view.hasConfirmedConfiguration());
    CHECK(core::ok(view.current(Start)));
}

TEST_CASE("after its permission has ended, a host goes on only if its configuration says that it serves when stale")
{
    const auto whenStale = GENERATE(WhenStale::Serve, WhenStale::Refuse);
    entry::ClusterView view;
    view.adopt(makeActive(3, whenStale));
    view.confirm(3, Start);
    const auto end = view.currentUntil();
    CHECK(core::ok(view.current(end - 1ms)));
    CHECK(core::ok(view.current(end)) == (whenStale == WhenStale::Serve));
}
