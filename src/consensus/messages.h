/**
 * @file
 * The messages between members: Raft's RPCs, with pre-votes.
 */
#pragma once

#include "consensus/types.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentoshed::consensus
{

/** Asks whether the receiver would grant a vote in @c term; does not change the state of the receiver. */
struct PreVoteRequest {
    /** The term of the election that the sender would start. */
    Term term;
    EntryId last;

    bool operator==(const PreVoteRequest &) const = default;
};

struct PreVoteReply {
    /** The current term of the member that replies. */
    Term term;
    /** The term of the request. */
    Term requestedTerm;
    bool granted = false;

    bool operator==(const PreVoteReply &) const = default;
};

struct VoteRequest {
    Term term;
    EntryId last;
    /** Whether the leader has handed its leadership to the sender, so that contact with that leader is no objection. */
    bool isHandover = false;

    bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
    Term term;
    bool granted = false;

    bool operator==(const VoteReply &) const = default;
};

/** Raft's AppendEntries: the entries that follow @c previous. Without entries it is a heartbeat. */
struct AppendRequest {
    Term term;
    EntryId previous;
    std::vector<Entry> entries;
    LogIndex commit;
    Round round;

    bool operator==(const AppendRequest &) const = default;
};

/** Why an append was refused. Lets the leader go back by a whole term at a time instead of by one entry. */
struct Conflict {
    /** The index of the request that did not match. */
    LogIndex previous;
    /** The term of the receiver's entry at @c previous; none if its log is shorter. */
    std::optional<Term> term;
    /** The receiver's first index of that term; without a term, the index after the receiver's last. */
    LogIndex first;

    bool operator==(const Conflict &) const = default;
};

struct AppendReply {
    Term term;
    Round round;
    /** The sender holds the leader's entries up to this index durably. Not set in a refusal. */
    LogIndex match;
    std::optional<Conflict> conflict;

    bool operator==(const AppendReply &) const = default;
};

/** Raft's InstallSnapshot, with the whole snapshot in one message. */
struct InstallSnapshotRequest {
    Term term;
    Snapshot snapshot;
    Round round;

    bool operator==(const InstallSnapshotRequest &) const = default;
};

struct InstallSnapshotReply {
    Term term;
    Round round;
    /** The sender holds the leader's state up to this index durably. Not set in a refusal. */
    LogIndex match;

    bool operator==(const InstallSnapshotReply &) const = default;
};

/** Raft's TimeoutNow: the leader of @c term hands its leadership to the receiver, which starts an election at once. */
struct HandoverRequest {
    Term term;

    bool operator==(const HandoverRequest &) const = default;
};

using MessageBody = std::variant<PreVoteRequest,
                                 PreVoteReply,
                                 VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 InstallSnapshotRequest,
                                 InstallSnapshotReply,
                                 HandoverRequest>;

/** A message, routed to the host of @c to. A receiver that has another data folder drops it. */
struct Message {
    MemberId from;
    MemberId to;
    MessageBody body;

    bool operator==(const Message &) const = default;
};

} // namespace pimentoshed::consensus
