/**
 * @file
 * The record format of the journal: each record is stored in a frame with its length and a checksum.
 *
 * A frame is written and synced before the next one is started. So only the last frame can be incomplete, and an
 * unreadable frame that is followed by a readable one is damage, never an interrupted write.
 */
#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoshed::journal
{

/** Returns @p record in a frame. */
std::string encodeFrame(std::string_view record);

/** The records found in a journal's bytes. */
struct ParsedFrames {
    std::vector<std::string> records;
    /** Size of the complete frames; bytes after them belong to an incomplete last frame. */
    std::size_t completeBytes = 0;
};

/** Parses the frames in @p bytes. Error: JournalDamaged. */
core::Result<ParsedFrames> parseFrames(std::string_view bytes);

} // namespace pimentoshed::journal
