/**
 * @file
 * Files written so that they last: whole writes, synced content, synced directory entries.
 */
#pragma once

#include "core/error.h"
#include "journal/filehooks.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace pimentoshed::journal
{

/** An open file descriptor, closed when this goes. */
class File
{
public:
    File() = default;
    explicit File(int descriptor);
    ~File();
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;
    File(const File &) = delete;
    File &operator=(const File &) = delete;

    int descriptor() const;
    bool isOpen() const;

private:
    int m_descriptor = -1;
};

/** Opens @p path for writing at its end, creating it. Error: JournalWriteFailed. */
core::Result<File> openForAppend(const std::filesystem::path &path);

/** Writes all of @p bytes. Error: JournalWriteFailed. */
core::Status writeWhole(const File &file, std::string_view bytes, const FileHooks &hooks);

/** Makes the content of @p file durable. Error: JournalWriteFailed. */
core::Status syncContent(const File &file, const FileHooks &hooks);

/** Makes the entries of @p folder durable. Error: JournalWriteFailed. */
core::Status syncFolder(const std::filesystem::path &folder, const FileHooks &hooks);

/** Puts a file with @p bytes at @p path, whole or not at all, and durably. Error: JournalWriteFailed. */
core::Status replaceFile(const std::filesystem::path &path, std::string_view bytes, const FileHooks &hooks);

/** The whole content. Error: FileUnreadable. */
core::Result<std::string> readWhole(const std::filesystem::path &path);

} // namespace pimentoshed::journal
