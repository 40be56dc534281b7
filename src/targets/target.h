/**
 * @file
 * A target as it announces itself.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace pimentoshed::targets
{

/** What a target says of itself. */
enum class Condition : std::uint8_t {
    Cold,
    Warm,
    Leaving,
    Gone,
};

inline constexpr std::array ConditionNames{
    core::EnumName<Condition>{Condition::Cold, "cold"},
    core::EnumName<Condition>{Condition::Warm, "warm"},
    core::EnumName<Condition>{Condition::Leaving, "leaving"},
    core::EnumName<Condition>{Condition::Gone, "gone"},
};

/**
 * Orders the words of one target: a restart raises the incarnation, every other change of its own the sequence. A
 * withdrawal goes before whatever else the same incarnation says, also later. Hosts raise the lease epoch when the
 * lease ends or another host takes it over.
 */
struct AnnouncementVersion {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t leaseEpoch = 0;
    bool withdrawn = false;

    bool operator==(const AnnouncementVersion &) const = default;
    auto operator<=>(const AnnouncementVersion &other) const
    {
        return std::tie(incarnation, withdrawn, sequence, leaseEpoch)
               <=> std::tie(other.incarnation, other.withdrawn, other.sequence, other.leaseEpoch);
    }
};

/** The newest known announcement of a target. */
struct Target {
    core::TargetId id;
    core::ServiceName service;
    core::FailureDomain domain;
    /** IP:PORT. */
    std::string address;
    AnnouncementVersion version;
    Condition condition = Condition::Cold;
    /** The host that keeps the target's lease. */
    core::HostId origin;
    /** Requests that it runs at once; 0 where only its service says. */
    unsigned slots = 0;

    bool operator==(const Target &) const = default;
};

} // namespace pimentoshed::targets
