#include "control/targetstore.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace pimentoshed;
using control::TargetStore;
using targets::Condition;

namespace
{

/** A temporary folder that is removed at the end. */
struct Folder {
    Folder()
    {
        REQUIRE(mkdtemp(name.data()) != nullptr);
    }
    ~Folder()
    {
        std::filesystem::remove_all(name);
    }

    std::string name = std::filesystem::temp_directory_path() / "pimentoshed-targets-XXXXXX";
};

targets::Target makeTarget(const std::string &id, Condition condition)
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.service = core::ServiceName("loans");
    target.domain = core::FailureDomain("ravne");
    target.address = "127.0.0.1:9000";
    target.version = {7, 3};
    target.condition = condition;
    target.slots = 6;
    return target;
}

void save(const std::string &folder, const std::vector<targets::Target> &saved)
{
    TargetStore store(folder);
    REQUIRE(store.save(saved));
    store.stop();
}

} // namespace

TEST_CASE("stored targets are loaded as they were, without those that serve no longer")
{
    const Folder folder;
    CHECK(TargetStore(folder.name).load().empty());
    const auto warm = makeTarget("t1", Condition::Warm);
    const auto cold = makeTarget("t2", Condition::Cold);
    save(folder.name, {warm, cold, makeTarget("t3", Condition::Leaving), makeTarget("t4", Condition::Gone)});
    CHECK(TargetStore(folder.name).load() == std::vector{warm, cold});
    save(folder.name, {cold});
    CHECK(TargetStore(folder.name).load() == std::vector{cold});
}

TEST_CASE("a file of targets that is damaged or ends early yields no wrong targets")
{
    const Folder folder;
    const auto first = makeTarget("t1", Condition::Warm);
    save(folder.name, {first, makeTarget("t2", Condition::Warm)});
    const auto file = folder.name + "/targets";
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
    CHECK(TargetStore(folder.name).load() == std::vector{first});
    std::ofstream(file, std::ios::binary) << "no frames at all, but more than a few bytes of text";
    CHECK(TargetStore(folder.name).load().empty());
}
