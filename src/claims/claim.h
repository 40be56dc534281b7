/**
 * @file
 * What entry hosts ask of the claims on request keys, and what they are answered.
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

/** Replicated time: handed in with each command, so that equal tables stay equal. It never goes back. */
using LogTime = core::Duration;

/** One try of one entry host to run a request. */
struct Attempt {
    core::HostId host;
    /** Of the entry host: another after each start. */
    std::uint64_t incarnation = 0;
    /** Unique within the incarnation. */
    std::uint64_t id = 0;

    bool operator==(const Attempt &) const = default;
};

/** Names a request; equal names are the same request. */
struct RequestIdentity {
    core::ServiceName service;
    core::RequestKey key;

    auto operator<=>(const RequestIdentity &) const = default;
};

/** What is known of the run of a claimed request. */
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

/** The answer to a claim. Only Granted and AlreadyMine allow the attempt to run. */
enum class ClaimResult : std::uint8_t {
    Granted,
    /** This very attempt holds the claim: its first answer was lost. */
    AlreadyMine,
    /** Another attempt holds the key, or this one has ended. */
    Used,
    /** The institution's share of the table is used up. */
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
    /** Of the run that holds the key, where the verdict is AlreadyMine or Used. */
    RunState state = RunState::Unknown;

    bool operator==(const ClaimResponse &) const = default;
};

/** Asks that @p attempt alone may run the request. */
struct Claim {
    RequestIdentity request;
    Attempt attempt;
    LogTime at{};
};

/** Says that the request is proven not to have been run by @p attempt. */
struct Release {
    RequestIdentity request;
    Attempt attempt;
    LogTime at{};
};

/** Says how the run of @p attempt ended: Ran or Unknown. */
struct Finish {
    RequestIdentity request;
    Attempt attempt;
    RunState state = RunState::Unknown;
    LogTime at{};
};

/** One claim, for snapshots. */
struct ClaimRecord {
    RequestIdentity request;
    /** Whose share the claim counts in; empty once it is released. */
    core::InstitutionName institution;
    Attempt attempt;
    RunState state = RunState::Running;
    /** When it was claimed or, once released, released. */
    LogTime since{};

    bool operator==(const ClaimRecord &) const = default;
};

} // namespace pimentoshed::claims
