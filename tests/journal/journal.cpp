#include "journal/journal.h"

#include "support/files.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace pimentoshed;
using journal::FileHooks;
using journal::Journal;
using support::TemporaryFolder;

namespace
{

std::filesystem::path journalFile(const TemporaryFolder &folder)
{
    return folder.path() / "journal";
}

Journal::Opened openJournal(const TemporaryFolder &folder, const FileHooks &hooks = FileHooks::system())
{
    auto opened = Journal::open(folder.path(), "c1", hooks);
    REQUIRE(core::ok(opened));
    return std::move(core::value(opened));
}

void writeThreeRecords(const TemporaryFolder &folder)
{
    auto opened = openJournal(folder);
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

const std::vector<std::string> ThreeRecords{"one", "two", "three"};

} // namespace

TEST_CASE("reopening a journal returns its records in order and the same identity")
{
    const TemporaryFolder folder;
    writeThreeRecords(folder);
    const auto first = openJournal(folder);
    const auto second = openJournal(folder);
    CHECK(first.records == ThreeRecords);
    CHECK(first.journal.identity() == second.journal.identity());
}

TEST_CASE("a last frame that ends at any byte is cut off, and appending continues")
{
    const TemporaryFolder whole;
    writeThreeRecords(whole);
    const auto size = std::filesystem::file_size(journalFile(whole));
    const auto lastFrame = sizeof("three") - 1 + 16;
    for (auto keptBytes = size - lastFrame + 1; keptBytes < size; ++keptBytes) {
        const TemporaryFolder folder;
        writeThreeRecords(folder);
        std::filesystem::resize_file(journalFile(folder), keptBytes);
        {
            auto opened = openJournal(folder);
            CHECK(opened.records.size() == 2);
            CHECK(opened.truncatedBytes == keptBytes - (size - lastFrame));
            CHECK(core::ok(opened.journal.append("three")));
        }
        CHECK(openJournal(folder).records == ThreeRecords);
    }
}

TEST_CASE("a journal with a damaged byte before the last record is refused, never cut")
{
    const TemporaryFolder whole;
    writeThreeRecords(whole);
    const auto size = std::filesystem::file_size(journalFile(whole));
    const auto lastFrame = sizeof("three") - 1 + 16;
    for (std::size_t at = 0; at < size - lastFrame; ++at) {
        INFO("byte " << at);
        const TemporaryFolder folder;
        writeThreeRecords(folder);
        flipByte(journalFile(folder), static_cast<std::streamoff>(at));
        const auto opened = Journal::open(folder.path(), "c1");
        REQUIRE(!core::ok(opened));
        CHECK(core::error(opened).code == core::ErrorCode::JournalDamaged);
    }
}

TEST_CASE("append fails after a failed sync, even once syncs succeed again")
{
    const TemporaryFolder folder;
    bool broken = false;
    auto hooks = FileHooks::system();
    hooks.sync = [&broken](int descriptor) {
        if (broken) {
            errno = EIO;
            return -1;
        }
        return fdatasync(descriptor);
    };
    auto opened = openJournal(folder, hooks);
    REQUIRE(core::ok(opened.journal.append("one")));
    broken = true;
    CHECK(!core::ok(opened.journal.append("two")));
    broken = false;
    const auto later = opened.journal.append("three");
    REQUIRE(!core::ok(later));
    CHECK(core::error(later).code == core::ErrorCode::JournalWriteFailed);
    // Only a new file can be trusted again.
    REQUIRE(core::ok(opened.journal.rewrite({"one", "four"})));
    REQUIRE(core::ok(opened.journal.append("five")));
    CHECK(openJournal(folder).records == std::vector<std::string>{"one", "four", "five"});
}

TEST_CASE("a journal that can't be written anew keeps its records, and append still fails")
{
    const TemporaryFolder folder;
    bool full = false;
    auto hooks = FileHooks::system();
    hooks.write = [&full](int descriptor, const void *data, std::size_t size) -> ssize_t {
        if (full) {
            errno = ENOSPC;
            return -1;
        }
        return ::write(descriptor, data, size);
    };
    auto opened = openJournal(folder, hooks);
    REQUIRE(core::ok(opened.journal.append("one")));
    full = true;
    CHECK(!core::ok(opened.journal.append("two")));
    CHECK(!core::ok(opened.journal.rewrite({"one", "two"})));
    full = false;
    CHECK(!core::ok(opened.journal.append("three")));
    CHECK(openJournal(folder).records == std::vector<std::string>{"one"});
}

TEST_CASE("a disk that is full in the middle of a record leaves the earlier records readable")
{
    const TemporaryFolder folder;
    std::size_t freeBytes = 30;
    auto hooks = FileHooks::system();
    hooks.write = [&freeBytes](int descriptor, const void *data, std::size_t size) -> ssize_t {
        if (freeBytes == 0) {
            errno = ENOSPC;
            return -1;
        }
        const auto part = std::min(size, freeBytes);
        freeBytes -= part;
        return write(descriptor, data, part);
    };
    {
        freeBytes = 1000;
        auto opened = openJournal(folder, hooks);
        freeBytes = 30;
        REQUIRE(core::ok(opened.journal.append("one")));
        CHECK(!core::ok(opened.journal.append("a record that does not fit")));
    }
    CHECK(openJournal(folder).records == std::vector<std::string>{"one"});
}

TEST_CASE("a rewrite replaces all records, or none if it fails")
{
    const TemporaryFolder folder;
    writeThreeRecords(folder);
    bool broken = false;
    auto hooks = FileHooks::system();
    hooks.sync = [&broken](int descriptor) {
        return broken ? -1 : fdatasync(descriptor);
    };
    {
        auto opened = openJournal(folder, hooks);
        broken = true;
        CHECK(!core::ok(opened.journal.rewrite({"snapshot"})));
    }
    {
        auto opened = openJournal(folder);
        CHECK(opened.records == ThreeRecords);
        REQUIRE(core::ok(opened.journal.rewrite({"snapshot"})));
        REQUIRE(core::ok(opened.journal.append("after")));
    }
    CHECK(openJournal(folder).records == std::vector<std::string>{"snapshot", "after"});
}

TEST_CASE("the folder of another host or without its identity is refused, and an emptied one gets a new identity")
{
    const TemporaryFolder folder;
    const auto disk = openJournal(folder).journal.identity().disk;
    const auto foreign = Journal::open(folder.path(), "c2");
    REQUIRE(!core::ok(foreign));
    CHECK(core::error(foreign).code == core::ErrorCode::DataFolderForeign);
    std::filesystem::remove_all(folder.path());
    CHECK(openJournal(folder).journal.identity().disk != disk);
    std::filesystem::remove(folder.path() / "identity");
    const auto withoutIdentity = Journal::open(folder.path(), "c1");
    REQUIRE(!core::ok(withoutIdentity));
    CHECK(core::error(withoutIdentity).code == core::ErrorCode::JournalDamaged);
}
