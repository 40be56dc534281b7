/**
 * @file
 * What callers, targets, operators and observers saw during a soak.
 */
#pragma once

#include "core/enumtable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::soak
{

/** How a request ended for its caller. */
enum class Outcome : std::uint8_t {
    /** The whole response of a target to this request. */
    Answered,
    /** A refusal that states that the request did not run. */
    RefusedAsNotRun,
    /** Any other refusal, or none before the caller's time-out. */
    Failed,
    /** The connection was closed on a new connection, or could not be made. */
    Cut,
    /** A kept connection was closed, which may cross the request. */
    KeptConnectionClosed,
    /** Sent behind a response that closes the connection, or after that: such a request counts as not read. */
    BehindClose,
    /** A successful response that is not that of a target to this request. */
    Wrong,
};

inline constexpr std::array OutcomeNames{
    core::EnumName<Outcome>{Outcome::Answered, "answered"},
    core::EnumName<Outcome>{Outcome::RefusedAsNotRun, "refused-as-not-run"},
    core::EnumName<Outcome>{Outcome::Failed, "failed"},
    core::EnumName<Outcome>{Outcome::Cut, "cut"},
    core::EnumName<Outcome>{Outcome::KeptConnectionClosed, "kept-connection-closed"},
    core::EnumName<Outcome>{Outcome::BehindClose, "behind-close"},
    core::EnumName<Outcome>{Outcome::Wrong, "wrong"},
};

struct Interval {
    core::TimePoint from{};
    core::TimePoint until{};
};

/** A request of a caller; its path is unique. */
struct CallerRequest {
    std::string path;
    bool isIdempotent = false;
    std::string entryHost;
    Interval time;
    Outcome outcome = Outcome::Failed;
    std::string detail;
};

/** One run of a request at a target, from the target's run journal. */
struct Run {
    std::string path;
    std::string target;
    /** The failure domain of the target. */
    std::string domain;
    core::TimePoint start{};
    std::optional<core::TimePoint> end;
};

/** The acknowledgement that a target leaves; @c target is one start of the target's process. */
struct Departure {
    std::string target;
    core::TimePoint acknowledged{};
};

/** A time in which a failure domain is out of service: from the acknowledgement until its return was requested. */
struct DomainOutage {
    std::string domain;
    Interval time;
};

/** An operator's change that was acknowledged. */
struct AcknowledgedChange {
    std::uint64_t revision = 0;
    core::TimePoint at{};
};

/** A read of the active configuration's revision; @c process is one start of the host's process. */
struct RevisionRead {
    std::string host;
    int process = 0;
    std::uint64_t revision = 0;
    /** For entry hosts: whether the host may act on it. */
    bool isCurrent = false;
    core::TimePoint sent{};
};

/** The end of a process after SIGTERM. */
struct PlannedStop {
    std::string host;
    int exitCode = 0;
    core::TimePoint ended{};
};

/** Everything that was recorded. */
struct Records {
    std::vector<CallerRequest> requests;
    std::vector<Run> runs;
    std::vector<Departure> departures;
    std::vector<DomainOutage> outages;
    std::vector<AcknowledgedChange> changes;
    std::vector<RevisionRead> reads;
    std::vector<PlannedStop> stops;
    /** Times in which a fault, or its aftermath, may affect requests. */
    std::vector<Interval> disturbances;
};

} // namespace pimentoshed::soak
