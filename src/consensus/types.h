/**
 * @file
 * Value types of the replicated log, which follows Raft: terms, indices, members, entries, snapshots.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::consensus
{

/** A strongly typed counter that starts at zero. Counters with different @p Tag types do not convert to each other. */
template<typename Tag>
class Ordinal
{
public:
    constexpr Ordinal() = default;
    constexpr explicit Ordinal(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const
    {
        return m_value;
    }
    constexpr Ordinal next() const
    {
        return Ordinal(m_value + 1);
    }
    /** Returns the value minus one; zero stays zero. */
    constexpr Ordinal previous() const
    {
        return Ordinal(m_value == 0 ? 0 : m_value - 1);
    }
    constexpr auto operator<=>(const Ordinal &) const = default;

private:
    std::uint64_t m_value = 0;
};

/** A Raft term, which begins with an election and has at most one leader. Term 0 has no leader. */
using Term = Ordinal<struct TermTag>;
/** A position in the log. The first entry has index 1. */
using LogIndex = Ordinal<struct LogIndexTag>;
/** Numbers the heartbeat rounds of one leader. */
using Round = Ordinal<struct RoundTag>;
/** Identifies one request to confirm that the state is current. The code that makes the request chooses the value. */
using ReadToken = Ordinal<struct ReadTokenTag>;
/** Numbers the batches of effects of one replica since its start. */
using BatchNumber = Ordinal<struct BatchNumberTag>;

/** Identifies one data folder. A folder that was lost and created again has another id. */
using DiskId = core::Id<struct DiskIdTag>;

/**
 * A control host together with its data folder. The same host with another data folder is another member, since the
 * former member's vote and log are lost with the folder.
 */
struct MemberId {
    core::HostId host;
    DiskId disk;

    auto operator<=>(const MemberId &) const = default;
};

/**
 * The configuration of the cluster, as Raft calls it: its voters, and the change of members that is running, if any.
 * Each step of a change is an entry of the log, so that any later leader can continue it. Each step adds or removes at
 * most one voter.
 */
struct Members {
    std::vector<MemberId> voters;
    /**
     * The member that is being added: a learner until it is among @c voters, and from then on a voter that has not yet
     * stored the entry that promoted it durably.
     */
    std::optional<MemberId> joining;
    /** The voter that the running change will remove. */
    std::optional<MemberId> leaving;

    bool isVoter(const MemberId &member) const
    {
        return std::find(voters.begin(), voters.end(), member) != voters.end();
    }
    /** Returns the learner, which receives entries but has no vote, if there is one. */
    std::optional<MemberId> learner() const
    {
        return joining && !isVoter(*joining) ? joining : std::nullopt;
    }
    /** Returns the number of voters that form a quorum. */
    std::size_t quorum() const
    {
        return voters.size() / 2 + 1;
    }
    /** Whether no change of members is running. The last change is finished once such members are committed. */
    bool isSettled() const
    {
        return !joining && !leaving;
    }
    bool operator==(const Members &) const = default;
};

enum class EntryKind : std::uint8_t {
    /** Appended by a new leader to start its term. */
    Noop,
    /** The payload is a change to the replicated state. */
    Change,
    /** The members that are in force from this entry on. */
    Members,
};

inline constexpr std::array EntryKindNames{
    core::EnumName<EntryKind>{EntryKind::Noop, "noop"},
    core::EnumName<EntryKind>{EntryKind::Change, "change"},
    core::EnumName<EntryKind>{EntryKind::Members, "members"},
};

/** Identifies one entry permanently: entries with equal ids are equal. */
struct EntryId {
    LogIndex index;
    Term term;

    auto operator<=>(const EntryId &) const = default;
};

/** One entry of the log. */
struct Entry {
    EntryId id;
    EntryKind kind = EntryKind::Noop;
    /** Set only for EntryKind::Change. */
    std::string payload;
    /** Set only for EntryKind::Members. */
    Members members;

    bool operator==(const Entry &) const = default;
};

/** Raft's current term and vote of a member; synced to disk before any message that depends on them is sent. */
struct HardState {
    Term term;
    std::optional<MemberId> votedFor;

    bool operator==(const HardState &) const = default;
};

/** The replicated state after every entry up to and including @c last; replaces these entries in the log. */
struct Snapshot {
    EntryId last;
    Members members;
    std::string payload;

    bool operator==(const Snapshot &) const = default;
};

} // namespace pimentoshed::consensus
