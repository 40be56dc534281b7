/**
 * @file
 * Decides when a rollout goes on, waits or goes back.
 */
#pragma once

#include "rollouts/rollout.h"
#include "rollouts/sequentialtest.h"

#include <optional>

namespace pimentoshed::rollouts
{

/** The room for requests at a service's warm targets in failure domains that are in service, in slots. */
struct Room {
    std::uint64_t newVersion = 0;
    std::uint64_t oldVersions = 0;
};

/** What a decision is based on, besides the counts. */
struct Situation {
    core::TimePoint now{};
    Room room{};
    /** How long an entry host may act on a step that is no longer in force. */
    core::Duration permission{};
};

/**
 * Conducts one rollout. Each control host follows all rollouts, so that it knows the time since the order when it
 * becomes the leader; only the leader asks for decisions. Not thread-safe.
 */
class Conductor
{
public:
    /** @p now is when this host first sees @p rollout. */
    Conductor(const Rollout &rollout, core::TimePoint now);

    /** Notes the state of the service's newest rollout; ignored if it is older than what is known. */
    void follow(const Rollout &rollout, core::TimePoint now);

    /** Adds the counts known so far, and returns the next move; nothing to wait. */
    std::optional<Move> decide(const RouteCounts &sums, const Situation &situation);

    const Rollout &rollout() const;
    const SequentialTest &test() const;
    /** Time since the order. */
    core::Duration elapsed(core::TimePoint now) const;
    /** When this host saw that the rollout had ended; nothing while it is running. */
    std::optional<core::TimePoint> endedAt() const;

private:
    bool mayAdvance(const Situation &situation) const;
    bool mayComplete(const Situation &situation) const;

    Rollout m_rollout;
    SequentialTest m_test;
    /** When this host saw the step. */
    core::TimePoint m_stepSeen;
    /** When this host decided first. */
    std::optional<core::TimePoint> m_firstDecision;
    /** The time to which the elapsed time of the rollout applies. */
    core::TimePoint m_elapsedSince;
    core::Duration m_elapsed;
    std::optional<core::TimePoint> m_endedAt;
    /** Responses of the new version before this step. */
    std::uint64_t m_responsesBefore = 0;
};

} // namespace pimentoshed::rollouts
