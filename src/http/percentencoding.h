/**
 * @file
 * Percent-encoding of URLs, RFC 3986 section 2.1.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pimentoshed::http
{

/** Decodes @p text. Returns nothing if a percent sign is not followed by two hexadecimal digits. */
std::optional<std::string> decodePercent(std::string_view text);

} // namespace pimentoshed::http
