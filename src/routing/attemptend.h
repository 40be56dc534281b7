/**
 * @file
 * How an attempt of a request at a target ended.
 */
#pragma once

#include "core/enumtable.h"
#include "core/time.h"
#include "routing/targetsignals.h"

#include <array>
#include <cstdint>
#include <optional>

namespace pimentoshed::routing
{

/** How an attempt ended, as far as it concerns the state of the target. */
enum class AttemptOutcome : std::uint8_t {
    Answered,
    Failed,
    Shed,
    /** The target took the request and gave no sign until this host or the deadline ended the attempt. */
    Silent,
    /** No connection could be made. */
    Unreachable,
    /** Ended by this host or the caller: no evidence about the target. */
    Cancelled,
};

inline constexpr std::array AttemptOutcomeNames{
    core::EnumName<AttemptOutcome>{AttemptOutcome::Answered, "answered"},
    core::EnumName<AttemptOutcome>{AttemptOutcome::Failed, "failed"},
    core::EnumName<AttemptOutcome>{AttemptOutcome::Shed, "shed"},
    core::EnumName<AttemptOutcome>{AttemptOutcome::Silent, "silent"},
    core::EnumName<AttemptOutcome>{AttemptOutcome::Unreachable, "unreachable"},
    core::EnumName<AttemptOutcome>{AttemptOutcome::Cancelled, "cancelled"},
};

/** Result of an attempt. */
struct AttemptEnd {
    AttemptOutcome outcome = AttemptOutcome::Answered;
    core::Duration latency{};
    /** The signals in the target's response; empty if there was none. */
    std::optional<TargetSignals> signals;
};

} // namespace pimentoshed::routing
