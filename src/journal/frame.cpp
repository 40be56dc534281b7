#include "journal/frame.h"

#include <cstdint>
#include <cstring>
#include <fmt/format.h>
#include <optional>
#include <xxhash.h>

namespace pimentoshed::journal
{

namespace
{

/** Marks the start of every frame, so that a search for frames rarely has to compute a checksum. */
constexpr std::uint32_t Magic = 0x4a4d4950;

/** All fields are in the byte order of the machine; data folders do not move between kinds of machines. */
struct Header {
    std::uint32_t magic;
    std::uint32_t length;
    std::uint64_t checksum;
};

std::uint64_t checksumOf(std::string_view record)
{
    // The length is the seed, so that a truncated record can't pass as a shorter one.
    return XXH64(record.data(), record.size(), record.size());
}

std::optional<std::string_view> frameAt(std::string_view bytes, std::size_t position)
{
    if (bytes.size() - position < sizeof(Header)) {
        return std::nullopt;
    }
    Header header{};
    std::memcpy(&header, bytes.data() + position, sizeof(header));
    const auto rest = bytes.substr(position + sizeof(header));
    if (header.magic != Magic || header.length > rest.size()) {
        return std::nullopt;
    }
    const auto record = rest.substr(0, header.length);
    return checksumOf(record) == header.checksum ? std::optional(record) : std::nullopt;
}

bool hasFrameAfter(std::string_view bytes, std::size_t position)
{
    for (auto next = position + 1; next + sizeof(Header) <= bytes.size(); ++next) {
        if (frameAt(bytes, next)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string encodeFrame(std::string_view record)
{
    const Header header{Magic, static_cast<std::uint32_t>(record.size()), checksumOf(record)};
    std::string framed(sizeof(header), '\0');
    std::memcpy(framed.data(), &header, sizeof(header));
    framed += record;
    return framed;
}

core::Result<ParsedFrames> parseFrames(std::string_view bytes)
{
    ParsedFrames read;
    while (read.completeBytes < bytes.size()) {
        const auto record = frameAt(bytes, read.completeBytes);
        if (!record) {
            break;
        }
        read.records.emplace_back(*record);
        read.completeBytes += sizeof(Header) + record->size();
    }
    if (read.completeBytes < bytes.size() && hasFrameAfter(bytes, read.completeBytes)) {
        return core::Error{core::ErrorCode::JournalDamaged,
                           fmt::format("unreadable frame at byte {}, followed by a readable one", read.completeBytes)};
    }
    return read;
}

} // namespace pimentoshed::journal
