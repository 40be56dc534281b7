/**
 * @file
 * Compresses the operators' file for transfer between hosts, whose links are narrow.
 */
#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

namespace pimentoshed::rpc
{

/** Compresses @p text. If it differs little from the text @p reference, the result has a few hundred bytes. */
std::string compress(std::string_view text, std::string_view reference = {});

/**
 * Returns the text that was compressed with the same @p reference. Error: MessageMalformed, also if @p reference is
 * another text.
 */
core::Result<std::string> decompress(std::string_view compressed, std::string_view reference = {});

} // namespace pimentoshed::rpc
