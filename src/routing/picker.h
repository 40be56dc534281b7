/**
 * @file
 * Which target a request goes to: hooks over one view of the candidates.
 */
#pragma once

#include "core/enumtable.h"
#include "core/random.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace pimentoshed::routing
{

/** A target that may be given a request, as this host sees it. */
struct Candidate {
    /** Requests of this host that the target has now. */
    unsigned inFlight = 0;
    /** Requests that this host may give it at once. */
    unsigned limit = 0;
    /** The target's last report: requests it had from everybody. */
    unsigned reportedLoad = 0;
    /** Whether it is in this host's failure domain. */
    bool near = false;
    /** How long this host's requests take at targets as near as this one. */
    core::Duration expectedLatency{};
    /** How long a request would take there, by what the target said of its load and by what went there since. */
    core::Duration expectedTime{};
    /** How likely that is within the request's objective, from 0 to 1. */
    double chance = 1;
};

/** The position of the chosen candidate, or nothing where none should be used. */
using Picker = std::function<std::optional<std::size_t>(std::span<const Candidate>, const core::RandomSource &)>;

/** The pickers that can be named in settings. */
enum class PickerKind : std::uint8_t {
    Random,
    RoundRobin,
    LeastRequests,
    TwoChoices,
    /** The default: shortest expected time, from requests in progress and the usual latency near and far. */
    LeastExpectedTime,
    /** By the targets' own words: the likeliest to meet the objective, less what the way to another domain costs. */
    NearInTime,
};

inline constexpr std::array PickerNames{
    core::EnumName<PickerKind>{PickerKind::Random, "random"},
    core::EnumName<PickerKind>{PickerKind::RoundRobin, "round-robin"},
    core::EnumName<PickerKind>{PickerKind::LeastRequests, "least-requests"},
    core::EnumName<PickerKind>{PickerKind::TwoChoices, "two-choices"},
    core::EnumName<PickerKind>{PickerKind::LeastExpectedTime, "least-expected-time"},
    core::EnumName<PickerKind>{PickerKind::NearInTime, "near-in-time"},
};

/** The picker of @p kind. One that keeps a position of its own may be called by several threads. */
Picker makePicker(PickerKind kind);

} // namespace pimentoshed::routing
