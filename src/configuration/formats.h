/**
 * @file
 * Rules for the strings of the operator's file.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace pimentoshed::configuration
{

enum class Format : std::uint8_t {
    Any,
    /** Of a service, an institution, a failure domain or a host. */
    Name,
    PathPrefix,
    /** IP:PORT */
    Address,
    Method,
    HeaderName,
};

/** Whether @p text keeps to @p format. */
bool matches(Format format, std::string_view text);

/** What @p format asks for, as a phrase after "expected". */
std::string_view formatExpectation(Format format);

/** Paths under this are the system's own. */
inline constexpr std::string_view OwnPathPrefix = "/pimentoshed/";

} // namespace pimentoshed::configuration
