#include "journal/journal.h"

#include "journal/frame.h"

#include <fmt/format.h>
#include <optional>
#include <random>
#include <utility>

namespace pimentoshed::journal
{

namespace
{

constexpr const char *JournalFileName = "journal";
constexpr const char *IdentityFileName = "identity";

std::string makeDiskId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

std::string encode(const Identity &identity)
{
    return fmt::format("{} {}\n", identity.disk, identity.host);
}

std::optional<Identity> decode(std::string_view text)
{
    Identity identity;
    const auto space = text.find(' ');
    if (space == std::string_view::npos || !text.ends_with('\n')) {
        return std::nullopt;
    }
    identity.disk = text.substr(0, space);
    identity.host = text.substr(space + 1, text.size() - space - 2);
    return identity;
}

core::Result<Identity> loadOrCreateIdentity(const std::filesystem::path &folder,
                                            const std::string &host,
                                            const FileHooks &hooks)
{
    const auto path = folder / IdentityFileName;
    if (!std::filesystem::exists(path)) {
        if (std::filesystem::exists(folder / JournalFileName)) {
            return core::Error{core::ErrorCode::JournalDamaged, "the data folder has a journal but no identity file"};
        }
        Identity identity{host, makeDiskId()};
        const auto written = replaceFile(path, encode(identity), hooks);
        if (!core::ok(written)) {
            return core::error(written);
        }
        return identity;
    }
    const auto text = readFile(path);
    if (!core::ok(text)) {
        return core::error(text);
    }
    auto identity = decode(core::value(text));
    if (!identity) {
        return core::Error{core::ErrorCode::JournalDamaged, "the identity file is malformed"};
    }
    if (identity->host != host) {
        return core::Error{core::ErrorCode::DataFolderForeign, "the owner is host " + identity->host};
    }
    return *identity;
}

core::Status createFolder(const std::filesystem::path &folder, const FileHooks &hooks)
{
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure) {
        return core::Error{core::ErrorCode::JournalWriteFailed, failure.message()};
    }
    const auto parent = std::filesystem::absolute(folder).parent_path();
    return syncFolder(parent, hooks);
}

/** Returns the journal's bytes; none if there is no journal yet. */
core::Result<std::string> readJournal(const std::filesystem::path &path)
{
    if (!std::filesystem::exists(path)) {
        return std::string();
    }
    return readFile(path);
}

std::string joinFrames(const std::vector<std::string> &records)
{
    std::string bytes;
    for (const auto &record : records) {
        bytes += encodeFrame(record);
    }
    return bytes;
}

core::Status truncateFile(const std::filesystem::path &path, std::size_t size)
{
    std::error_code failure;
    std::filesystem::resize_file(path, size, failure);
    if (failure) {
        return core::Error{core::ErrorCode::JournalWriteFailed, "truncate: " + failure.message()};
    }
    return std::monostate{};
}

} // namespace

core::Result<Journal::Opened> Journal::open(const std::filesystem::path &folder,
                                            const std::string &host,
                                            FileHooks hooks)
{
    const auto made = createFolder(folder, hooks);
    if (!core::ok(made)) {
        return core::error(made);
    }
    auto identity = loadOrCreateIdentity(folder, host, hooks);
    if (!core::ok(identity)) {
        return core::error(identity);
    }
    const auto bytes = readJournal(folder / JournalFileName);
    if (!core::ok(bytes)) {
        return core::error(bytes);
    }
    auto frames = parseFrames(core::value(bytes));
    if (!core::ok(frames)) {
        return core::error(frames);
    }
    auto &read = core::value(frames);
    Opened opened{Journal(folder, std::move(core::value(identity)), std::move(hooks)), std::move(read.records), 0};
    opened.truncatedBytes = core::value(bytes).size() - read.completeBytes;
    if (opened.truncatedBytes > 0) {
        const auto done = truncateFile(folder / JournalFileName, read.completeBytes);
        if (!core::ok(done)) {
            return core::error(done);
        }
    }
    opened.journal.m_bytes = read.completeBytes;
    const auto ready = opened.journal.openFile();
    if (!core::ok(ready)) {
        return core::error(ready);
    }
    return opened;
}

core::Status Journal::createDataFolder(const std::filesystem::path &folder,
                                       const Identity &identity,
                                       const std::vector<std::string> &records,
                                       const FileHooks &hooks)
{
    auto step = createFolder(folder, hooks);
    if (!core::ok(step)) {
        return step;
    }
    if (std::filesystem::exists(folder / IdentityFileName) || std::filesystem::exists(folder / JournalFileName)) {
        return core::Error{core::ErrorCode::DataFolderForeign, "the data folder already has an identity or a journal"};
    }
    step = replaceFile(folder / IdentityFileName, encode(identity), hooks);
    return core::ok(step) ? replaceFile(folder / JournalFileName, joinFrames(records), hooks) : step;
}

Journal::Journal(std::filesystem::path folder, Identity identity, FileHooks hooks)
    : m_folder(std::move(folder))
    , m_identity(std::move(identity))
    , m_hooks(std::move(hooks))
{
}

core::Status Journal::openFile()
{
    auto file = openForAppend(m_folder / JournalFileName);
    if (!core::ok(file)) {
        return core::error(file);
    }
    m_file = std::move(core::value(file));
    const auto synced = syncContent(m_file, m_hooks);
    return core::ok(synced) ? syncFolder(m_folder, m_hooks) : synced;
}

core::Status Journal::append(std::string_view record)
{
    if (m_failed) {
        return core::Error{core::ErrorCode::JournalWriteFailed, "an earlier write or sync failed"};
    }
    const auto framed = encodeFrame(record);
    auto step = writeAll(m_file, framed, m_hooks);
    if (core::ok(step)) {
        step = syncContent(m_file, m_hooks);
    }
    if (!core::ok(step)) {
        return markFailed(std::move(step));
    }
    m_bytes += framed.size();
    return step;
}

core::Status Journal::rewrite(const std::vector<std::string> &records)
{
    const auto bytes = joinFrames(records);
    auto step = replaceFile(m_folder / JournalFileName, bytes, m_hooks);
    if (core::ok(step)) {
        step = openFile();
    }
    if (!core::ok(step)) {
        return markFailed(std::move(step));
    }
    m_bytes = bytes.size();
    m_failed = false;
    return step;
}

core::Result<std::vector<std::string>> Journal::records() const
{
    const auto bytes = readJournal(m_folder / JournalFileName);
    if (!core::ok(bytes)) {
        return core::error(bytes);
    }
    auto frames = parseFrames(core::value(bytes));
    if (!core::ok(frames)) {
        return core::error(frames);
    }
    return std::move(core::value(frames).records);
}

const Identity &Journal::identity() const
{
    return m_identity;
}

std::size_t Journal::bytes() const
{
    return m_bytes;
}

core::Status Journal::markFailed(core::Status failure)
{
    m_failed = true;
    return failure;
}

} // namespace pimentoshed::journal
