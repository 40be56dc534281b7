/**
 * @file
 * The output of a replica: what the control host that runs it must store, send and apply.
 */
#pragma once

#include "consensus/messages.h"
#include "consensus/types.h"
#include "core/enumtable.h"
#include "core/error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoshed::consensus
{

enum class Role : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /** The replicated state can't be restored: the replica takes no part until it is restarted. */
    Stopped,
};

inline constexpr std::array RoleNames{
    core::EnumName<Role>{Role::Follower, "follower"},
    core::EnumName<Role>{Role::PreCandidate, "pre-candidate"},
    core::EnumName<Role>{Role::Candidate, "candidate"},
    core::EnumName<Role>{Role::Leader, "leader"},
    core::EnumName<Role>{Role::Stopped, "stopped"},
};

/** A message to send. */
struct OutgoingMessage {
    Message message;
    /** Send the message only after this batch and every earlier one are durable; drop it if a sync fails. */
    bool afterSync = false;
};

/** A confirmed read request: it can be answered once every entry up to @c index, Raft's read index, is applied. */
struct ReadConfirmed {
    ReadToken token;
    LogIndex index;
};

/** A read request that this replica can't confirm as current. */
struct ReadFailed {
    ReadToken token;
    core::Error error;
};

struct RoleChange {
    Role role = Role::Follower;
    Term term;
    std::optional<MemberId> leader;
};

/**
 * One batch of output. The host syncs the fields hardState, truncateFrom, snapshot and entries in this order, then
 * calls Replica::persisted() with @c batch; a batch with nothing to sync needs no call. Batches are synced in the order
 * of their numbers.
 */
struct Effects {
    BatchNumber batch;

    std::optional<HardState> hardState;
    /** Remove the stored entries from this index on, before @c entries are appended. */
    std::optional<LogIndex> truncateFrom;
    /** The snapshot to store; afterwards the stored entries up to its index are no longer needed. */
    std::optional<Snapshot> snapshot;
    /** Consecutive entries to append to the stored log. */
    std::vector<Entry> entries;

    std::vector<OutgoingMessage> messages;

    /** Replace the replicated state by this snapshot, before @c committed is applied. */
    std::optional<Snapshot> restore;
    /** Entries to apply: consecutive, in order, and each only once since the start or the last @c restore. */
    std::vector<Entry> committed;

    std::vector<ReadConfirmed> confirmedReads;
    std::vector<ReadFailed> failedReads;
    std::vector<RoleChange> roleChanges;

    /** Whether the batch contains anything to sync. */
    bool needsSync() const
    {
        return hardState || snapshot || truncateFrom || !entries.empty();
    }
};

/** Everything that a member must have on disk, with the content of every batch up to @c batch. */
struct StorageImage {
    BatchNumber batch;
    HardState hardState;
    /** The members before the first entry. Not set if there is a snapshot, which has its own. */
    std::optional<Members> initialMembers;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

} // namespace pimentoshed::consensus
