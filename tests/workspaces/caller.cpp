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

/** The name of the workspace of a request with @p keys, or how it is refused; empty if it belongs to none. */
std::string identified(const std::shared_ptr<const Configuration> &configuration,
                       const Route &route,
                       const std::vector<std::string_view> &keys,
                       bool isCurrent = true)
{
    const auto caller = workspaces::identify(
        *configuration, workspaces::KeyTable(configuration), route, workspaces::presentKeys(keys), isCurrent);
    if (!core::ok(caller)) {
        if (core::error(caller).code == core::ErrorCode::NotCurrent) {
            return "not current";
        }
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

TEST_CASE("identify: a host that is not current uses the keys that it knows, and calls no key unknown")
{
    const auto configuration = withOneWorkspace();
    CHECK(identified(configuration, {}, {"key-1"}, false) == "w");
    CHECK(identified(configuration, {}, {"key-2"}, false) == "not current");
    CHECK(identified(configuration, {}, {}, false) == "not current");
    CHECK(identified(configuration, {}, {"key-1", "key-2"}, false) == "not current");
}

TEST_CASE("identify: a host that is not current uses no keys if the configuration says so")
{
    auto closed = std::make_shared<Configuration>(*withOneWorkspace());
    closed->limits.keysWhenStale = configuration::WhenStale::Refuse;
    Route route;
    CHECK(identified(closed, route, {"key-1"}, false) == "not current");
    CHECK(identified(closed, route, {"key-1"}) == "w");
    route.isPublic = true;
    CHECK(identified(closed, route, {"key-1"}, false) == "w");
    CHECK(identified(closed, route, {}, false).empty());
}
