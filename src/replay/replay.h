/**
 * @file
 * Simulates several entry hosts on a trace, and checks invariants at every step.
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

/** The variant of the entry hosts that is simulated. */
struct Policy {
    routing::PickerKind picker = routing::PickerKind::LeastExpectedTime;
    /** Whether targets that are late or fail get less work. */
    bool ejectsOutliers = true;
    /** Whether requests wait at the hosts for capacity; otherwise they are refused. */
    bool hasQueues = true;
};

/** A condition that must hold at every step. */
enum class Invariant : std::uint8_t {
    /** No cold target gets more requests at once than it has cold slots. */
    ColdBound,
    /** No request is sent to a target later than MaxPropagationDelay after it left or its domain was taken out. */
    NoNewWorkAfterBound,
    /** A request that is refused as not run was run by no target. */
    RefusedMeansNotRun,
    /** A request that is not idempotent runs once at most. */
    AtMostOnce,
    /** Retries stay within the service's ratio to first attempts. */
    RetryBudget,
};

inline constexpr std::array InvariantNames{
    core::EnumName<Invariant>{Invariant::ColdBound, "cold-bound"},
    core::EnumName<Invariant>{Invariant::NoNewWorkAfterBound, "no-new-work-after-bound"},
    core::EnumName<Invariant>{Invariant::RefusedMeansNotRun, "refused-means-not-run"},
    core::EnumName<Invariant>{Invariant::AtMostOnce, "at-most-once"},
    core::EnumName<Invariant>{Invariant::RetryBudget, "retry-budget"},
};

/** The results of a replay. */
struct Summary {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t retries = 0;
    /** Messages between hosts and targets. */
    std::size_t messages = 0;
    /** Requests that targets shed for lack of a free slot. */
    std::size_t shed = 0;
    /** The latencies of answered requests, in ascending order. */
    std::vector<core::Duration> latencies;
    std::map<Invariant, std::size_t> violations;

    /** Returns the latency quantile at @p share, from 0 to 1, of the answered requests; zero if there are none. */
    core::Duration quantile(double share) const;
};

/** Longest time until a target's announcement or an operator's change reaches a host. */
inline constexpr core::Duration MaxPropagationDelay = std::chrono::milliseconds(500);

/** Runs @p trace. The same trace, policy and seed give the same results. */
Summary run(const Trace &trace, const Policy &policy, std::uint64_t seed);

} // namespace pimentoshed::replay
