/**
 * @file
 * The replicated state as the bytes of a snapshot.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"
#include "targets/target.h"

#include <string>
#include <vector>

namespace pimentoshed::rpc
{

/** What every control host holds alike. */
struct SnapshotContent {
    changes::LedgerState ledger;
    /** From the oldest on. */
    std::vector<targets::Target> withdrawals;
};

std::string encodeState(const SnapshotContent &content);
/** Error: SnapshotDamaged. */
core::Result<SnapshotContent> decodeState(const std::string &bytes);

} // namespace pimentoshed::rpc
