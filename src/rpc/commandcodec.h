/**
 * @file
 * Operators' changes and their answers as bytes of the replicated log.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"

#include <string>

namespace pimentoshed::rpc
{

std::string encodeCommand(const changes::Change &change);
/** Error: MessageMalformed. */
core::Result<changes::Change> decodeCommand(const std::string &bytes);

std::string encodeAnswer(const changes::Answer &answer);
/** Error within: MessageMalformed where the bytes do not parse. */
changes::Answer decodeAnswer(const std::string &bytes);

} // namespace pimentoshed::rpc
