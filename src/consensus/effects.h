/**
 * @file
 * What a replica asks of its host.
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
    /** Its storage failed: takes no part until restart. */
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
    /** Only to be sent once this batch and every earlier one are durable; dropped where a sync fails. */
    bool afterSync = false;
};

/** The state is current for the request: answer it once everything up to @c index is applied. */
struct ReadConfirmed {
    ReadToken token;
    LogIndex index;
};

/** The request can't be answered as current here. */
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
 * One batch. The host syncs in the order of the fields hardState, truncateFrom, snapshot, entries, then calls
 * Replica::persisted() with @c batch; a batch with nothing to sync needs no call. Batches are synced in the order of
 * their numbers.
 */
struct Effects {
    BatchNumber batch;

    std::optional<HardState> hardState;
    /** Entries from here on are to be removed, before @c entries are appended. */
    std::optional<LogIndex> truncateFrom;
    /** To store; afterwards the log's entries up to its index are not needed. */
    std::optional<Snapshot> snapshot;
    /** Consecutive. */
    std::vector<Entry> entries;

    std::vector<OutgoingMessage> messages;

    /** The replicated state is to be replaced by this, before @c committed is applied. */
    std::optional<Snapshot> restore;
    /** Consecutive, in order, each once since the start or the last @c restore. */
    std::vector<Entry> committed;

    std::vector<ReadConfirmed> confirmedReads;
    std::vector<ReadFailed> failedReads;
    std::vector<RoleChange> roleChanges;

    /** Whether something is to be made durable. */
    bool needsSync() const
    {
        return hardState || snapshot || truncateFrom || !entries.empty();
    }
};

} // namespace pimentoshed::consensus
