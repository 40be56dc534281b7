/**
 * @file
 * Encodes the replicated state as the payload of a log snapshot.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"
#include "targets/target.h"

#include <string>
#include <vector>

namespace pimentoshed::rpc
{

/** The state that is equal on all control hosts that have applied the same log entries. */
struct SnapshotContent {
    changes::LedgerState ledger;
    /** The oldest first. */
    std::vector<targets::Target> withdrawals;
};

std::string encodeState(const SnapshotContent &content);
/** Error: SnapshotDamaged. */
core::Result<SnapshotContent> decodeState(const std::string &bytes);

} // namespace pimentoshed::rpc
