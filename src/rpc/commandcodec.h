/**
 * @file
 * Encodes the commands of the replicated log and the answers to them.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"
#include "targets/target.h"

#include <string>
#include <variant>

namespace pimentoshed::rpc
{

/** An operator's change, the withdrawal of a target, which gets no new requests any more, or a move of a rollout. */
using Command = std::variant<changes::Change, targets::Target, changes::MoveRollout>;

std::string encodeCommand(const Command &command);
/** Error: MessageMalformed. */
core::Result<Command> decodeCommand(const std::string &bytes);

std::string encodeAnswer(const changes::Answer &answer);
/** Returns the error MessageMalformed if the bytes do not parse. */
changes::Answer decodeAnswer(const std::string &bytes);

} // namespace pimentoshed::rpc
