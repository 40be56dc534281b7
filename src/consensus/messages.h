/**
 * @file
 * What members say to each other.
 */
#pragma once

#include "consensus/types.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentoshed::consensus
{

/** Asks whether a vote would be granted in @c term; changes nothing at the receiver. */
struct PreVoteRequest {
    /** The term that the sender would campaign in. */
    Term term;
    EntryId last;

    bool operator==(const PreVoteRequest &) const = default;
};

struct PreVoteReply {
    /** The receiver's own term. */
    Term term;
    /** The term of the request. */
    Term requestedTerm;
    bool granted = false;

    bool operator==(const PreVoteReply &) const = default;
};

struct VoteRequest {
    Term term;
    EntryId last;

    bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
    Term term;
    bool granted = false;

    bool operator==(const VoteReply &) const = default;
};

/** Entries that follow @c previous; without entries, a heartbeat. */
struct AppendRequest {
    Term term;
    EntryId previous;
    std::vector<Entry> entries;
    LogIndex commit;
    Round round;

    bool operator==(const AppendRequest &) const = default;
};

/** Why an append was refused, so that the leader skips a whole term at a time. */
struct Conflict {
    /** The index that did not match. */
    LogIndex previous;
    /** The term of the receiver's entry there; none where its log is shorter. */
    std::optional<Term> term;
    /** The receiver's first index of that term, or the one after its last. */
    LogIndex first;

    bool operator==(const Conflict &) const = default;
};

struct AppendReply {
    Term term;
    Round round;
    /** Holds the leader's entries up to here, durably. Not set in a refusal. */
    LogIndex match;
    std::optional<Conflict> conflict;

    bool operator==(const AppendReply &) const = default;
};

/** The whole snapshot in one message. */
struct InstallSnapshotRequest {
    Term term;
    Snapshot snapshot;
    Round round;

    bool operator==(const InstallSnapshotRequest &) const = default;
};

struct InstallSnapshotReply {
    Term term;
    Round round;
    /** Holds the leader's state up to here, durably. */
    LogIndex match;

    bool operator==(const InstallSnapshotReply &) const = default;
};

using MessageBody = std::variant<PreVoteRequest,
                                 PreVoteReply,
                                 VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 InstallSnapshotRequest,
                                 InstallSnapshotReply>;

/** Routed by the host of @c to; a receiver with another disk drops it. */
struct Message {
    MemberId from;
    MemberId to;
    MessageBody body;

    bool operator==(const Message &) const = default;
};

} // namespace pimentoshed::consensus
