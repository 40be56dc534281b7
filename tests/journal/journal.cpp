#include "journal/journal.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace pimentoshed;
using journal::FileHooks;
using journal::Journal;

namespace
{

/** A folder that goes with the test. */
class Folder
{
public:
    Folder()
    {
        std::string name = std::filesystem::temp_directory_path() / "pimentoshed-journal-XXXXXX";
        m_path = mkdtemp(name.data());
    }
    ~Folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::filesystem::path path() const
    {
        return m_path;
    }

    std::filesystem::path file() const
    {
        return m_path / "journal";
    }

private:
    std::filesystem::path m_path;
};

Journal::Opened openWhole(const Folder &folder, const FileHooks &hooks = FileHooks::system())
{
    auto opened = Journal::open(folder.path(), "c1", hooks);
    REQUIRE(core::ok(opened));
    return std::move(core::value(opened));
}

void writeThree(const Folder &folder)
{
    auto opened = openWhole(folder);
    for (const auto *record : {"one", "two", "three"}) {
        REQUIRE(core::ok(opened.journal.append(record)));
    }
}

void flipByte(const std::filesystem::path &path, std::streamoff position)
{
    std::fstream stream(path, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(position);
    const auto byte = static_cast<char>(stream.get() ^ 1);
    stream.seekp(position);
    stream.put(byte);
}

const std::vector<std::string> Three{"one", "two", "three"};

} // namespace

TEST_CASE("records are read back in order, under the same identity")
{
    const Folder folder;
    writeThree(folder);
    const auto first = openWhole(folder);
    const auto second = openWhole(folder);
    CHECK(first.records == Three);
    CHECK(first.journal.identity() == second.journal.identity());
}

TEST_CASE("a tail torn at any byte is cut, and writing goes on behind it")
{
    const Folder whole;
    writeThree(whole);
    const auto size = std::filesystem::file_size(whole.file());
    const auto lastFrame = sizeof("three") - 1 + 16;
    for (auto kept = size - lastFrame + 1; kept < size; ++kept) {
        const Folder folder;
        writeThree(folder);
        std::filesystem::resize_file(folder.file(), kept);
        {
            auto opened = openWhole(folder);
            CHECK(opened.records.size() == 2);
            CHECK(opened.cutBytes == kept - (size - lastFrame));
            CHECK(core::ok(opened.journal.append("three")));
        }
        CHECK(openWhole(folder).records == Three);
    }
}

TEST_CASE("damage at any byte before the last record is refused, never cut")
{
    const Folder whole;
    writeThree(whole);
    const auto size = std::filesystem::file_size(whole.file());
    const auto lastFrame = sizeof("three") - 1 + 16;
    for (std::size_t at = 0; at < size - lastFrame; ++at) {
        INFO("byte " << at);
        const Folder folder;
        writeThree(folder);
        flipByte(folder.file(), static_cast<std::streamoff>(at));
        const auto opened = Journal::open(folder.path(), "c1");
        REQUIRE(!core::ok(opened));
        CHECK(core::error(opened).code == core::ErrorCode::JournalDamaged);
    }
}

TEST_CASE("after a failed sync nothing more is accepted")
{
    const Folder folder;
    bool broken = false;
    auto hooks = FileHooks::system();
    hooks.sync = [&broken](int descriptor) {
        if (broken) {
            errno = EIO;
            return -1;
        }
        return fdatasync(descriptor);
    };
    auto opened = openWhole(folder, hooks);
    REQUIRE(core::ok(opened.journal.append("one")));
    broken = true;
    CHECK(!core::ok(opened.journal.append("two")));
    broken = false;
    const auto later = opened.journal.append("three");
    REQUIRE(!core::ok(later));
    CHECK(core::error(later).code == core::ErrorCode::JournalWriteFailed);
}

TEST_CASE("a full disk in the middle of a record leaves the earlier ones")
{
    const Folder folder;
    std::size_t room = 30;
    auto hooks = FileHooks::system();
    hooks.write = [&room](int descriptor, const void *data, std::size_t size) -> ssize_t {
        if (room == 0) {
            errno = ENOSPC;
            return -1;
        }
        const auto part = std::min(size, room);
        room -= part;
        return write(descriptor, data, part);
    };
    {
        room = 1000;
        auto opened = openWhole(folder, hooks);
        room = 30;
        REQUIRE(core::ok(opened.journal.append("one")));
        CHECK(!core::ok(opened.journal.append("a record that does not fit")));
    }
    CHECK(openWhole(folder).records == std::vector<std::string>{"one"});
}

TEST_CASE("a rewrite replaces everything or nothing")
{
    const Folder folder;
    writeThree(folder);
    bool broken = false;
    auto hooks = FileHooks::system();
    hooks.sync = [&broken](int descriptor) {
        return broken ? -1 : fdatasync(descriptor);
    };
    {
        auto opened = openWhole(folder, hooks);
        broken = true;
        CHECK(!core::ok(opened.journal.rewrite({"snapshot"})));
    }
    {
        auto opened = openWhole(folder);
        CHECK(opened.records == Three);
        REQUIRE(core::ok(opened.journal.rewrite({"snapshot"})));
        REQUIRE(core::ok(opened.journal.append("after")));
    }
    CHECK(openWhole(folder).records == std::vector<std::string>{"snapshot", "after"});
}

TEST_CASE("another host's folder is refused, and an emptied one gets a new identity")
{
    const Folder folder;
    const auto disk = openWhole(folder).journal.identity().disk;
    const auto foreign = Journal::open(folder.path(), "c2");
    REQUIRE(!core::ok(foreign));
    CHECK(core::error(foreign).code == core::ErrorCode::DataFolderForeign);
    std::filesystem::remove_all(folder.path());
    CHECK(openWhole(folder).journal.identity().disk != disk);
    std::filesystem::remove(folder.path() / "identity");
    const auto headless = Journal::open(folder.path(), "c1");
    REQUIRE(!core::ok(headless));
    CHECK(core::error(headless).code == core::ErrorCode::JournalDamaged);
}
