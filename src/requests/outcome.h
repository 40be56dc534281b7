/**
 * @file
 * Result of a request after one of its attempts has ended.
 */
#pragma once

#include "core/enumtable.h"
#include "core/error.h"

#include <array>
#include <cstdint>
#include <optional>

namespace pimentoshed::requests
{

/** Whether the request ran at a target. NotRun is used only if it is proven. */
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

/** Result of one attempt, or of all attempts of a request combined. */
struct RequestOutcome {
    RunState run = RunState::NotRun;
    /** Empty if the target's complete response reached the caller. */
    std::optional<core::Error> failure;

    bool operator==(const RequestOutcome &) const = default;
};

} // namespace pimentoshed::requests
