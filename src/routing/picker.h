/**
 * @file
 * Pickers choose the target of a request from a list of candidates.
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

/** A target to which this host may assign a request. */
struct Candidate {
    /** Requests of this host in flight at the target. */
    unsigned inFlight = 0;
    /** Most requests that this host may have in flight at the target. */
    unsigned limit = 0;
    /** Requests of all hosts at the target, running or queued, by its last load report; 0 without a report. */
    unsigned reportedLoad = 0;
    /** Whether the target is in this host's failure domain. */
    bool isLocal = false;
    /** Mean latency of this host's requests at local targets if the target is local, otherwise at remote ones. */
    core::Duration meanLatency{};
    /** Predicted time of a request at the target, from its last load report and the requests sent to it since. */
    core::Duration predictedTime{};
    /** Estimated probability, from 0 to 1, that the request ends within its objective. */
    double onTimeProbability = 1;
    /** Probability, from 0 to 1, with which this host takes the target once it is chosen. Pickers ignore it. */
    double sendProbability = 1;
};

/** Returns the position of the chosen candidate, or nullopt if none should be used. */
using Picker = std::function<std::optional<std::size_t>(std::span<const Candidate>, const core::RandomSource &)>;

/** The pickers that can be chosen in the settings. */
enum class PickerKind : std::uint8_t {
    Random,
    RoundRobin,
    LeastRequests,
    TwoChoices,
    /** The default: shortest expected time, from requests in flight and the mean local or remote latency. */
    LeastExpectedTime,
    /** Highest probability to meet the objective by the targets' load reports, less a cost for remote targets. */
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

/** Makes the picker of @p kind. Pickers with a state of their own (RoundRobin) may be called by several threads. */
Picker makePicker(PickerKind kind);

} // namespace pimentoshed::routing
