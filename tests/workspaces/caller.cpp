#include "workspaces/caller.h"

#include "configuration/keydigest.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using configuration::Configuration;
using configuration::Route;
using workspaces::KeyPresence;

namespace
{

std::shared_ptr<const Configuration> withOneWorkspace()
{
    auto made = std::make_shared<Configuration>();
    made->workspaces.push_back({core::WorkspaceName("w"), {configuration::digestOfKey("key-1")}, {}, 0, 0});
    return made;
}

/** The name of the workspace of a request with @p keys; "refused" if it is, and empty if it belongs to none. */
std::string identified(const std::shared_ptr<const Configuration> &configuration,
                       const Route &route,
                       const std::vector<std::string_view> &keys)
{
    const auto caller =
        workspaces::identify(*configuration, workspaces::KeyTable(configuration), route, workspaces::presentKeys(keys));
    if (!core::ok(caller)) {
        CHECK(core::error(caller).code == core::ErrorCode::KeyUnknown);
        CHECK(core::error(caller).detail.find("key-") == std::string::npos);
        return "refused";
    }
    const auto &workspace = core::value(caller).workspace;
    return workspace == nullptr ? std::string() : workspace->name.str();
}

} // namespace

TEST_CASE("identify: a request needs exactly one key that a workspace holds")
{
    const auto configuration = withOneWorkspace();
    CHECK(identified(configuration, {}, {"key-1"}) == "w");
    CHECK(identified(configuration, {}, {"", "key-1"}) == "w");
    for (const auto &keys : std::vector<std::vector<std::string_view>>{
             {}, {""}, {"key-2"}, {"KEY-1"}, {"key-1 "}, {" key-1"}, {"key-1", "key-1"}, {"key-1", "key-2"}}) {
        CHECK(identified(configuration, {}, keys) == "refused");
    }
}

TEST_CASE("identify: a public route needs no key, but a valid one counts")
{
    const auto configuration = withOneWorkspace();
    Route route;
    route.isPublic = true;
    CHECK(identified(configuration, route, {"key-1"}) == "w");
    CHECK(identified(configuration, route, {}).empty());
    CHECK(identified(configuration, route, {"key-2"}).empty());
    CHECK(identified(configuration, route, {"key-1", "key-1"}).empty());
}

TEST_CASE("identify: a configuration without workspaces needs no key")
{
    CHECK(identified(std::make_shared<Configuration>(), {}, {"key-1"}).empty());
    CHECK(identified(std::make_shared<Configuration>(), {}, {}).empty());
}
