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

/** The owner of a data folder. */
struct Identity {
    std::string host;
    /** Differs for each new data folder, so that a host that lost its disk is not taken for its predecessor. */
    std::string disk;

    bool operator==(const Identity &) const = default;
};

/** Used by one thread at a time. After a failed write or sync, append() fails until rewrite() has succeeded. */
class Journal
{
public:
    /** An opened journal and the records in it. */
    struct Opened;

    /**
     * Opens the journal of @p host in @p folder, or creates a new one. An incomplete last frame is cut off. Errors:
     * JournalDamaged, DataFolderForeign, JournalWriteFailed, FileUnreadable.
     */
    static core::Result<Opened> open(const std::filesystem::path &folder,
                                     const std::string &host,
                                     FileHooks hooks = FileHooks::system());

    /**
     * Creates the data folder of a host of a new system, with @p records as the first ones. Errors: DataFolderForeign
     * if the folder is already in use, JournalWriteFailed.
     */
    static core::Status createDataFolder(const std::filesystem::path &folder,
                                         const Identity &identity,
                                         const std::vector<std::string> &records,
                                         const FileHooks &hooks = FileHooks::system());

    /** Appends @p record durably. Error: JournalWriteFailed. */
    core::Status append(std::string_view record);

    /**
     * Atomically and durably replaces all records by @p records, in a new file: after a failed sync the content of the
     * old one is unknown, and a later sync of it would prove nothing. Error: JournalWriteFailed.
     */
    core::Status rewrite(const std::vector<std::string> &records);

    /** Reads all records written so far. Errors: JournalDamaged, FileUnreadable. */
    core::Result<std::vector<std::string>> records() const;

    const Identity &identity() const;
    /** Size of the journal file. */
    std::size_t bytes() const;

private:
    Journal(std::filesystem::path folder, Identity identity, FileHooks hooks);

    core::Status openFile();
    /** Makes every further append fail; returns @p failure. */
    core::Status markFailed(core::Status failure);

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
    /** Size of the incomplete last frame that was cut off; 0 if there was none. */
    std::size_t truncatedBytes = 0;
};

} // namespace pimentoshed::journal
