/**
 * @file
 * The announcement of a target.
 */
#pragma once

#include "core/enumtable.h"
#include "core/error.h"
#include "core/ids.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace pimentoshed::targets
{

/** The state that a target announces. */
enum class Condition : std::uint8_t {
    Cold,
    Warm,
    /** Gets no new requests. */
    Leaving,
    /** Has withdrawn itself, or its lease has ended. */
    Gone,
};

inline constexpr std::array ConditionNames{
    core::EnumName<Condition>{Condition::Cold, "cold"},
    core::EnumName<Condition>{Condition::Warm, "warm"},
    core::EnumName<Condition>{Condition::Leaving, "leaving"},
    core::EnumName<Condition>{Condition::Gone, "gone"},
};

/** Whether a target that announces @p condition gets new requests. */
constexpr bool takesRequests(Condition condition)
{
    return condition == Condition::Cold || condition == Condition::Warm;
}

/**
 * Orders the announcements of one target. A restart of the target raises the incarnation; each of its other changes
 * raises the sequence. A withdrawal takes precedence over all other announcements of the same incarnation, including
 * later ones. Hosts raise the lease epoch when the lease ends or when another host takes it over.
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
    /** In the form IP:PORT. */
    std::string address;
    AnnouncementVersion version;
    Condition condition = Condition::Cold;
    /** The host that keeps the target's lease. */
    core::HostId origin;
    /** Number of requests that the target runs at once; 0 if the value of its service applies. */
    unsigned slots = 0;
    /** Version of the target's software; empty if it names none. */
    std::string softwareVersion;

    bool operator==(const Target &) const = default;
};

/**
 * Checks that the id of @p target can be a header's value, and that its other names are readable or empty. Error:
 * AnnouncementMalformed.
 */
core::Status checkNames(const Target &target);

} // namespace pimentoshed::targets
