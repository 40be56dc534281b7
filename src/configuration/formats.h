/**
 * @file
 * Formats of the strings in the operator's file.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace pimentoshed::configuration
{

enum class Format : std::uint8_t {
    Any,
    /** The name of a service, an institution, a failure domain or a host. */
    Name,
    PathPrefix,
    /** IP:PORT */
    Address,
    Method,
    HeaderName,
    /** A key of a workspace. */
    WorkspaceKey,
};

bool matches(Format format, std::string_view text);

/** Describes @p format by a phrase that can follow "expected". */
std::string_view describeFormat(Format format);

/** Paths with this prefix are reserved for the system's own interface. */
inline constexpr std::string_view ReservedPathPrefix = "/pimentoshed/";

} // namespace pimentoshed::configuration
