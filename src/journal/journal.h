/**
 * @file
 * A host's durable records, in one file of its data folder.
 */
#pragma once

#include "core/error.h"
#include "journal/file.h"
#include "journal/filehooks.h"

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoshed::journal
{

/** Whose data folder it is. */
struct Identity {
    std::string host;
    /** Differs for each new data folder: a host that lost its disk is told from the one it was. */
    std::string disk;

    bool operator==(const Identity &) const = default;
};

/** Used by one thread at a time. After a failed write or sync every further write fails, until the process restarts. */
class Journal
{
public:
    /** A journal and what it held. */
    struct Opened;

    /**
     * Opens the journal of @p host in @p folder, or makes a new one. A torn tail is cut. Errors: JournalDamaged,
     * DataFolderForeign, JournalWriteFailed, FileUnreadable.
     */
    static core::Result<Opened> open(const std::filesystem::path &folder,
                                     const std::string &host,
                                     FileHooks hooks = FileHooks::system());

    /**
     * Makes a folder for a host of a new system, which starts from @p records. Errors: DataFolderForeign where the
     * folder is already in use, JournalWriteFailed.
     */
    static core::Status create(const std::filesystem::path &folder,
                               const Identity &identity,
                               const std::vector<std::string> &records,
                               const FileHooks &hooks = FileHooks::system());

    /** Adds @p record durably. Error: JournalWriteFailed. */
    core::Status append(std::string_view record);

    /** Replaces everything with @p records durably, all or nothing. Error: JournalWriteFailed. */
    core::Status rewrite(const std::vector<std::string> &records);

    /** Everything written so far. Errors: JournalDamaged, FileUnreadable. */
    core::Result<std::vector<std::string>> records() const;

    const Identity &identity() const;
    std::size_t bytes() const;

private:
    Journal(std::filesystem::path folder, Identity identity, FileHooks hooks);

    core::Status openFile();
    core::Status fail(core::Status failure);

    std::filesystem::path m_folder;
    Identity m_identity;
    FileHooks m_hooks;
    File m_file;
    std::size_t m_bytes = 0;
    bool m_failed = false;
};

struct Journal::Opened {
    Journal journal;
    std::vector<std::string> records;
    /** Bytes of a torn tail that were cut. */
    std::size_t cutBytes = 0;
};

} // namespace pimentoshed::journal
