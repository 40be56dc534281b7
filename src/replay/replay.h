/**
 * @file
 * Runs the decisions of several entry hosts against a trace, and checks what must hold at every step.
 */
#pragma once

#include "core/enumtable.h"
#include "replay/trace.h"
#include "routing/picker.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace pimentoshed::replay
{

/** Which hosts send to a target. */
enum class Placement : std::uint8_t {
    /** Every host sends to every target. */
    Shared,
    /** One host for each failure domain has all of its targets; the others relay to it. */
    Owned,
};

/** What is replayed. */
struct Policy {
    routing::PickerKind picker = routing::PickerKind::LeastExpectedTime;
    Placement placement = Placement::Shared;
    /** Whether late and failing targets lose work. */
    bool ejectsOutliers = true;
    /** Whether requests wait at the hosts for room. */
    bool hasQueues = true;
    bool hasHedging = true;
};

/** What must hold at every step. */
enum class Invariant : std::uint8_t {
    ColdBound,
    NoNewWorkAfterBound,
    RefusedMeansNotRun,
    AtMostOnce,
    RetryBudget,
};

inline constexpr std::array InvariantNames{
    core::EnumName<Invariant>{Invariant::ColdBound, "cold-bound"},
    core::EnumName<Invariant>{Invariant::NoNewWorkAfterBound, "no-new-work-after-bound"},
    core::EnumName<Invariant>{Invariant::RefusedMeansNotRun, "refused-means-not-run"},
    core::EnumName<Invariant>{Invariant::AtMostOnce, "at-most-once"},
    core::EnumName<Invariant>{Invariant::RetryBudget, "retry-budget"},
};

/** What came of a replay. */
struct Summary {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t extraAttempts = 0;
    /** Between hosts and targets, and between hosts. */
    std::size_t messages = 0;
    /** Answers of targets that had no slot free. */
    std::size_t shed = 0;
    /** Of answered requests, in ascending order. */
    std::vector<core::Duration> latencies;
    std::map<Invariant, std::size_t> violations;

    /** The latency that @p share of the answered requests stay within. */
    core::Duration quantile(double share) const;
};

/** How long the word of a target or an operator takes to reach a host, at most. */
inline constexpr core::Duration MaxPropagationDelay = std::chrono::milliseconds(500);

Summary run(const Trace &trace, const Policy &policy, std::uint64_t seed);

} // namespace pimentoshed::replay
