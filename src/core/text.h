/**
 * @file
 * Text from outside this process, which may be any bytes; valid text is UTF-8.
 */
#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace pimentoshed::core
{

/**
 * Limit on a name from outside, in bytes. A thousand times more than names in use, and all targets of a large system
 * with such names still fit into one message.
 */
inline constexpr std::size_t MaxNameBytes = 1024;

/** Whether @p text is valid UTF-8 without control characters. */
bool isReadable(std::string_view text);

/** Whether @p text has only visible ASCII characters, so that it can be a header's value and a part of a URL. */
bool isVisibleAscii(std::string_view text);

/**
 * Checks that @p name is empty or readable and has at most MaxNameBytes; @p what names it in the error. Error:
 * RequestMalformed.
 */
Status checkName(std::string_view what, std::string_view name);

/** The longest start of @p text that has at most @p maxBytes and ends with a whole character. */
std::string_view truncate(std::string_view text, std::size_t maxBytes);

/** Returns @p text with each byte that belongs to no valid character replaced by U+FFFD. */
std::string replaceInvalid(std::string_view text);

} // namespace pimentoshed::core
