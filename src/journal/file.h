/**
 * @file
 * Durable file operations: complete writes, synced content, synced directory entries.
 */
#pragma once

#include "core/error.h"
#include "journal/filehooks.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace pimentoshed::journal
{

/** An open file descriptor, closed on destruction. */
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

/** Opens @p path for appending; creates the file if it does not exist. Error: JournalWriteFailed. */
core::Result<File> openForAppend(const std::filesystem::path &path);

/** Writes all of @p bytes. Error: JournalWriteFailed. */
core::Status writeAll(const File &file, std::string_view bytes, const FileHooks &hooks);

/** Makes the content of @p file durable. Error: JournalWriteFailed. */
core::Status syncContent(const File &file, const FileHooks &hooks);

/** Makes the directory entries of @p folder durable. Error: JournalWriteFailed. */
core::Status syncFolder(const std::filesystem::path &folder, const FileHooks &hooks);

/** Atomically and durably replaces the file at @p path by one with @p bytes. Error: JournalWriteFailed. */
core::Status replaceFile(const std::filesystem::path &path, std::string_view bytes, const FileHooks &hooks);

/** Returns the whole content of @p path. Error: FileUnreadable. */
core::Result<std::string> readFile(const std::filesystem::path &path);

} // namespace pimentoshed::journal
