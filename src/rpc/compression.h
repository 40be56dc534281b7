/**
 * @file
 * Packs files for the way between hosts, whose links are narrow.
 */
#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

namespace pimentoshed::rpc
{

/** Packs @p text, leaning on @p known: a text that differs little from it takes some hundred bytes. */
std::string compress(std::string_view text, std::string_view known = {});

/** The text that was packed with the same @p known. Error: MessageMalformed, also where @p known is another text. */
core::Result<std::string> decompress(std::string_view packed, std::string_view known = {});

} // namespace pimentoshed::rpc
