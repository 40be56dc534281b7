/**
 * @file
 * What is known of a request once an attempt at it has ended.
 */
#pragma once

#include "core/enumtable.h"
#include "core/error.h"

#include <array>
#include <cstdint>
#include <optional>

namespace pimentoshed::requests
{

/** Whether the request ran at a target. NotRun is only said where it is proven. */
enum class RunState : std::uint8_t {
    NotRun,
    Ran,
    Unknown,
};

inline constexpr std::array RunStateNames{
    core::EnumName<RunState>{RunState::NotRun, "not-run"},
    core::EnumName<RunState>{RunState::Ran, "ran"},
    core::EnumName<RunState>{RunState::Unknown, "unknown"},
};

/** The end of one attempt. */
struct RequestOutcome {
    RunState run = RunState::NotRun;
    /** Nothing where the target's whole answer reached the caller. */
    std::optional<core::Error> failure;

    bool operator==(const RequestOutcome &) const = default;
};

} // namespace pimentoshed::requests
