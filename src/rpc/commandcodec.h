/**
 * @file
 * The commands of the replicated log and their answers as bytes.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"
#include "targets/target.h"

#include <string>
#include <variant>

namespace pimentoshed::rpc
{

/** An operator's change, or a target that gets no new work any more. */
using Command = std::variant<changes::Change, targets::Target>;

std::string encodeCommand(const Command &command);
/** Error: MessageMalformed. */
core::Result<Command> decodeCommand(const std::string &bytes);

std::string encodeAnswer(const changes::Answer &answer);
/** Error within: MessageMalformed where the bytes do not parse. */
changes::Answer decodeAnswer(const std::string &bytes);

} // namespace pimentoshed::rpc
