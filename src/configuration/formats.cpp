#include "configuration/formats.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <functional>
#include <string>

namespace pimentoshed::configuration
{

namespace
{

/** How one format is checked and described. */
struct FormatRow {
    Format format;
    std::string_view expected;
    std::function<bool(std::string_view)> check;
};

constexpr std::size_t MaxNameLength = 64; // characters

constexpr std::array<std::string_view, 9> Methods{
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "CONNECT"};

bool isLowerOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return isLowerOrDigit(c) || c == '-';
    });
}

bool isPathCharacter(char c)
{
    constexpr std::string_view Others = "/-._~!$&'()*+,;=:@%";
    return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || Others.find(c) != std::string_view::npos;
}

bool isPathPrefix(std::string_view text)
{
    const bool isEnclosedInSlashes = text.starts_with('/') && text.ends_with('/');
    return isEnclosedInSlashes && text.find("//") == std::string_view::npos && !text.starts_with(ReservedPathPrefix)
           && std::all_of(text.begin(), text.end(), isPathCharacter);
}

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    return failure == std::errc() && end == text.data() + text.size() && port != 0;
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(std::string(host), failure);
    return !failure && address.is_v6() == bracketed && !address.is_unspecified() && !address.is_multicast();
}

bool isMethod(std::string_view text)
{
    return std::find(Methods.begin(), Methods.end(), text) != Methods.end();
}

bool isHeaderName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
    });
}

/** Characters that HTTP allows in a bearer token (RFC 6750, section 2.1), without the padding at its end. */
bool isTokenCharacter(char c)
{
    constexpr std::string_view Others = "-._~+/";
    return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || Others.find(c) != std::string_view::npos;
}

bool isWorkspaceKey(std::string_view text)
{
    // Shorter ones can be found from their digests, which hosts keep.
    constexpr std::size_t MinLength = 16;
    constexpr std::size_t MaxLength = 128;
    const auto end = text.find_last_not_of('=') + 1;
    return text.size() >= MinLength && text.size() <= MaxLength && end > 0
           && std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), isTokenCharacter);
}

const std::array<FormatRow, 7> &formatTable()
{
    static const std::array<FormatRow, 7> rows{{
        {Format::Any,
         "any text",
         [](std::string_view) {
             return true;
         }},
        {Format::Name, "a name of a-z, 0-9 and '-', 1 to 64 characters", isName},
        {Format::PathPrefix, "a path that begins and ends with '/', not under /pimentoshed/", isPathPrefix},
        {Format::Address, "IP:PORT (IPv6 as [IP]:PORT)", isAddress},
        {Format::Method, "a method such as GET or POST", isMethod},
        {Format::HeaderName, "a header name of letters, digits, '-' and '_'", isHeaderName},
        {Format::WorkspaceKey, "a key of letters, digits and -._~+/=, 16 to 128 characters", isWorkspaceKey},
    }};
    return rows;
}

const FormatRow &rowOf(Format format)
{
    return *std::find_if(formatTable().begin(), formatTable().end(), [format](const FormatRow &row) {
        return row.format == format;
    });
}

} // namespace

bool matches(Format format, std::string_view text)
{
    return rowOf(format).check(text);
}

std::string_view describeFormat(Format format)
{
    return rowOf(format).expected;
}

} // namespace pimentoshed::configuration
