#include "journal/file.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <utility>

namespace pimentoshed::journal
{

namespace
{

core::Error writeError(const std::string &operation)
{
    return {core::ErrorCode::JournalWriteFailed, operation + ": " + std::strerror(errno)};
}

} // namespace

File::File(int descriptor)
    : m_descriptor(descriptor)
{
}

File::~File()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

File::File(File &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

File &File::operator=(File &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

int File::descriptor() const
{
    return m_descriptor;
}

bool File::isOpen() const
{
    return m_descriptor >= 0;
}

core::Result<File> openForAppend(const std::filesystem::path &path)
{
    constexpr mode_t OwnerOnly = 0600;
    File file(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, OwnerOnly));
    if (!file.isOpen()) {
        return writeError(path.filename());
    }
    return file;
}

core::Status writeAll(const File &file, std::string_view bytes, const FileHooks &hooks)
{
    while (!bytes.empty()) {
        const auto written = hooks.write(file.descriptor(), bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return writeError("write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return std::monostate{};
}

core::Status syncContent(const File &file, const FileHooks &hooks)
{
    if (hooks.sync(file.descriptor()) != 0) {
        return writeError("sync");
    }
    return std::monostate{};
}

core::Status syncFolder(const std::filesystem::path &folder, const FileHooks &hooks)
{
    const File opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.isOpen()) {
        return writeError("open folder");
    }
    return syncContent(opened, hooks);
}

core::Status replaceFile(const std::filesystem::path &path, std::string_view bytes, const FileHooks &hooks)
{
    auto temporary = path;
    temporary += ".new";
    std::error_code ignored;
    std::filesystem::remove(temporary, ignored);
    const auto file = openForAppend(temporary);
    if (!core::ok(file)) {
        return core::error(file);
    }
    auto step = writeAll(core::value(file), bytes, hooks);
    if (core::ok(step)) {
        step = syncContent(core::value(file), hooks);
    }
    if (!core::ok(step)) {
        return step;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return writeError("rename");
    }
    return syncFolder(path.parent_path(), hooks);
}

core::Result<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return core::Error{core::ErrorCode::FileUnreadable, path.filename()};
    }
    std::string content(std::istreambuf_iterator<char>(stream), {});
    if (stream.bad()) {
        return core::Error{core::ErrorCode::FileUnreadable, path.filename()};
    }
    return content;
}

} // namespace pimentoshed::journal
