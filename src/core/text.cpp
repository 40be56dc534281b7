#include "core/text.h"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <fmt/format.h>

namespace pimentoshed::core
{

namespace
{

using boost::locale::utf::code_point;
using Utf8 = boost::locale::utf::utf_traits<char>;

constexpr std::string_view ReplacementCharacter = "\xef\xbf\xbd";
/** How much of a refused name its error shows. */
constexpr std::size_t MaxShownBytes = 64;

bool isValid(code_point character)
{
    return character != boost::locale::utf::illegal && character != boost::locale::utf::incomplete;
}

bool isControl(code_point character)
{
    constexpr code_point FirstPrintable = 0x20;
    constexpr code_point Delete = 0x7f;
    constexpr code_point LastControl = 0x9f;
    return character < FirstPrintable || (character >= Delete && character <= LastControl);
}

} // namespace

bool isReadable(std::string_view text)
{
    for (const auto *next = text.begin(); next != text.end();) {
        const auto character = Utf8::decode(next, text.end());
        if (!isValid(character) || isControl(character)) {
            return false;
        }
    }
    return true;
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

Status checkName(std::string_view what, std::string_view name)
{
    if (name.size() > MaxNameBytes || !isReadable(name)) {
        return Error{ErrorCode::RequestMalformed,
                     fmt::format("{}: expected at most {} bytes of UTF-8 without control characters, got {} bytes: {}",
                                 what,
                                 MaxNameBytes,
                                 name.size(),
                                 replaceInvalid(truncate(name, MaxShownBytes)))};
    }
    return std::monostate{};
}

std::string_view truncate(std::string_view text, std::size_t maxBytes)
{
    if (text.size() <= maxBytes) {
        return text;
    }
    // Text that is not UTF-8 may have any number of trail bytes in a row.
    const auto shortest = maxBytes - std::min<std::size_t>(maxBytes, Utf8::max_width - 1);
    auto size = maxBytes;
    while (size > shortest && Utf8::is_trail(text[size])) {
        --size;
    }
    return text.substr(0, size);
}

std::string replaceInvalid(std::string_view text)
{
    std::string valid;
    valid.reserve(text.size());
    for (const auto *next = text.begin(); next != text.end();) {
        const auto *start = next;
        if (isValid(Utf8::decode(next, text.end()))) {
            valid.append(start, next);
        } else {
            valid += ReplacementCharacter;
            next = start + 1;
        }
    }
    return valid;
}

} // namespace pimentoshed::core
