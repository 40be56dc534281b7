/**
 * @file
 * The values of the replicated log: terms, indices, members, entries, snapshots.
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

/** A counter that starts at zero; @p Tag tells the kinds apart. */
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
    /** One less; zero stays zero. */
    constexpr Ordinal previous() const
    {
        return Ordinal(m_value == 0 ? 0 : m_value - 1);
    }
    constexpr auto operator<=>(const Ordinal &) const = default;

private:
    std::uint64_t m_value = 0;
};

/** Numbers the periods between elections. Term 0 has no leader. */
using Term = Ordinal<struct TermTag>;
/** A position in the log. The first entry has index 1. */
using LogIndex = Ordinal<struct LogIndexTag>;
/** Numbers the heartbeat rounds of one leader. */
using Round = Ordinal<struct RoundTag>;
/** Names one request for a confirmation that the state is current; chosen by whoever asks. */
using ReadToken = Ordinal<struct ReadTokenTag>;
/** Numbers the batches of effects of one replica since its start. */
using BatchNumber = Ordinal<struct BatchNumberTag>;

/** Names one data folder. A folder that was lost and made again has another id. */
using DiskId = core::Id<struct DiskIdTag>;

/** A control host with the disk that it answers for: with another disk it is another member. */
struct MemberId {
    core::HostId host;
    DiskId disk;

    auto operator<=>(const MemberId &) const = default;
};

/**
 * Who takes part. A change of members is written into the log step by step, so that any leader can go on with it;
 * each step adds or removes one voter at most.
 */
struct Members {
    std::vector<MemberId> voters;
    /** A learner until it is among the voters; then a voter that does not yet hold its own promotion durably. */
    std::optional<MemberId> joining;
    /** The voter that the running change will remove. */
    std::optional<MemberId> leaving;

    bool isVoter(const MemberId &member) const
    {
        return std::find(voters.begin(), voters.end(), member) != voters.end();
    }
    /** The member that gets entries without a vote, if there is one. */
    std::optional<MemberId> learner() const
    {
        return joining && !isVoter(*joining) ? joining : std::nullopt;
    }
    /** How many voters make a quorum. */
    std::size_t quorum() const
    {
        return voters.size() / 2 + 1;
    }
    /** No change of members is running; committed as such, the last change is finished. */
    bool isSettled() const
    {
        return !joining && !leaving;
    }
    bool operator==(const Members &) const = default;
};

enum class EntryKind : std::uint8_t {
    /** Starts a leader's term. */
    Noop,
    /** The payload is a change to the replicated state. */
    Change,
    /** Members from here on. */
    Members,
};

inline constexpr std::array EntryKindNames{
    core::EnumName<EntryKind>{EntryKind::Noop, "noop"},
    core::EnumName<EntryKind>{EntryKind::Change, "change"},
    core::EnumName<EntryKind>{EntryKind::Members, "members"},
};

/** Names one entry for good: entries with equal ids are equal. */
struct EntryId {
    LogIndex index;
    Term term;

    auto operator<=>(const EntryId &) const = default;
};

/** One record of the log. */
struct Entry {
    EntryId id;
    EntryKind kind = EntryKind::Noop;
    /** Only of a Change. */
    std::string payload;
    /** Only of Members. */
    Members members;

    bool operator==(const Entry &) const = default;
};

/** What a member promised to others; synced before any message that follows from it. */
struct HardState {
    Term term;
    std::optional<MemberId> votedFor;

    bool operator==(const HardState &) const = default;
};

/** Stands for every entry up to and including @c last. */
struct Snapshot {
    EntryId last;
    Members members;
    std::string payload;

    bool operator==(const Snapshot &) const = default;
};

} // namespace pimentoshed::consensus
