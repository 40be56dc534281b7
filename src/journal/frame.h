/**
 * @file
 * How the journal lays its records out: each in a frame with its length and a checksum.
 *
 * A frame is written and synced before the next one is begun. So only the last frame can be torn, and an unreadable
 * frame with a readable one behind it is damage, never an interrupted write.
 */
#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoshed::journal
{

/** The frame that holds @p record. */
std::string frame(std::string_view record);

/** What a journal's bytes hold. */
struct ParsedFrames {
    std::vector<std::string> records;
    /** Bytes of whole frames; what lies behind them is a torn tail. */
    std::size_t wholeBytes = 0;
};

/** The records in @p bytes. Error: JournalDamaged. */
core::Result<ParsedFrames> readFrames(std::string_view bytes);

} // namespace pimentoshed::journal
