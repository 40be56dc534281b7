#include "workspaces/keytable.h"

#include "configuration/keydigest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace pimentoshed;
using configuration::Configuration;
using configuration::digestOfKey;
using configuration::Workspace;

namespace
{

std::shared_ptr<const Configuration> manyWorkspaces(unsigned count, unsigned keys)
{
    auto made = std::make_shared<Configuration>();
    for (unsigned i = 0; i < count; ++i) {
        Workspace workspace{core::WorkspaceName(fmt::format("w{}", i)), {}, {}, 0, 0};
        for (unsigned j = 0; j < keys; ++j) {
            workspace.keys.push_back(digestOfKey(fmt::format("key-{}-of-{}", j, i)));
        }
        made->workspaces.push_back(workspace);
    }
    return made;
}

} // namespace

TEST_CASE("KeyTable: finds the workspace of each key, and none for other keys")
{
    const workspaces::KeyTable table(manyWorkspaces(500, 4));
    CHECK(table.keyCount() == 2000);
    for (unsigned i = 0; i < 500; ++i) {
        const auto found = table.find(digestOfKey(fmt::format("key-{}-of-{}", i % 4, i)));
        REQUIRE(found != nullptr);
        CHECK(found->name == core::WorkspaceName(fmt::format("w{}", i)));
    }
    CHECK(table.find(digestOfKey("key-4-of-1")) == nullptr);
    CHECK(table.find(digestOfKey("")) == nullptr);
    CHECK(table.find({}) == nullptr);
    CHECK(workspaces::KeyTable().find(digestOfKey("key-0-of-0")) == nullptr);
}

TEST_CASE("KeyTable: compares whole digests, also where their starts are equal")
{
    auto made = std::make_shared<Configuration>();
    auto first = digestOfKey("a");
    auto second = first;
    second.back() ^= 1U;
    made->workspaces = {{core::WorkspaceName("v"), {first}, {}, 0, 0}, {core::WorkspaceName("w"), {second}, {}, 0, 0}};
    const workspaces::KeyTable table(made);
    CHECK(table.find(first)->name == core::WorkspaceName("v"));
    CHECK(table.find(second)->name == core::WorkspaceName("w"));
    first.back() ^= 2U;
    CHECK(table.find(first) == nullptr);
}

TEST_CASE("KeyTable: a found workspace outlives the table")
{
    std::shared_ptr<const Workspace> found;
    {
        const workspaces::KeyTable table(manyWorkspaces(1, 1));
        found = table.find(digestOfKey("key-0-of-0"));
    }
    CHECK(found->name == core::WorkspaceName("w0"));
}
