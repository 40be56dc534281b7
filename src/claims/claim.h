/**
 * @file
 * Claims on request keys: the commands of entry hosts, and the responses to them.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace pimentoshed::claims
{

/** Replicated time: part of each command, so that equal tables stay equal. Never goes back. */
using LogTime = core::Duration;

/** One attempt of one entry host to run a request. */
struct Attempt {
    core::HostId host;
    /** Incarnation of the entry host, which changes with each start. */
    std::uint64_t incarnation = 0;
    /** Unique within the incarnation. */
    std::uint64_t id = 0;

    bool operator==(const Attempt &) const = default;
};

/** Identifies a request: equal values mean the same request. */
struct RequestIdentity {
    core::ServiceName service;
    core::RequestKey key;

    auto operator<=>(const RequestIdentity &) const = default;
};

/** What is known about the execution of a claimed request. */
enum class RunState : std::uint8_t {
    Running,
    Ran,
    Unknown,
    /** Proven not to have run; the key can be claimed again. */
    Released,
};

inline constexpr std::array RunStateNames{
    core::EnumName<RunState>{RunState::Running, "running"},
    core::EnumName<RunState>{RunState::Ran, "ran"},
    core::EnumName<RunState>{RunState::Unknown, "unknown"},
    core::EnumName<RunState>{RunState::Released, "released"},
};

/** Result of a claim. Only Granted and AlreadyMine allow the attempt to run. */
enum class ClaimResult : std::uint8_t {
    Granted,
    /** The same attempt already holds the claim; the response to its first claim was lost. */
    AlreadyMine,
    /** Another attempt holds the key, or this attempt has already ended. */
    Used,
    /** The institution holds as many claims as its share allows. */
    Full,
    UnknownService,
    /** The key is empty or too long. */
    Malformed,
};

inline constexpr std::array ClaimResultNames{
    core::EnumName<ClaimResult>{ClaimResult::Granted, "granted"},
    core::EnumName<ClaimResult>{ClaimResult::AlreadyMine, "already-mine"},
    core::EnumName<ClaimResult>{ClaimResult::Used, "used"},
    core::EnumName<ClaimResult>{ClaimResult::Full, "full"},
    core::EnumName<ClaimResult>{ClaimResult::UnknownService, "unknown-service"},
    core::EnumName<ClaimResult>{ClaimResult::Malformed, "malformed"},
};

struct ClaimResponse {
    ClaimResult result = ClaimResult::Malformed;
    /** State of the attempt that holds the key, if the result is AlreadyMine or Used. */
    RunState state = RunState::Unknown;

    bool operator==(const ClaimResponse &) const = default;
};

/** Command that reserves the request for @c attempt, so that no other attempt may run it. */
struct Claim {
    RequestIdentity request;
    Attempt attempt;
    LogTime at{};
};

/** Command that gives the claim up, because @c attempt is proven not to have run the request. */
struct Release {
    RequestIdentity request;
    Attempt attempt;
    LogTime at{};
};

/** Command that records how @c attempt ended: Ran or Unknown. */
struct Finish {
    RequestIdentity request;
    Attempt attempt;
    RunState state = RunState::Unknown;
    LogTime at{};
};

/** One claim in a snapshot. */
struct ClaimRecord {
    RequestIdentity request;
    /** The institution whose share the claim is counted in; empty once the claim is released. */
    core::InstitutionName institution;
    Attempt attempt;
    RunState state = RunState::Running;
    /** Time of the claim or, for a released claim, of its release. */
    LogTime since{};

    bool operator==(const ClaimRecord &) const = default;
};

} // namespace pimentoshed::claims
