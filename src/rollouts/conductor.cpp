#include "rollouts/conductor.h"

#include <algorithm>

namespace pimentoshed::rollouts
{

namespace
{

/**
 * Time from a step to the next one, at least: the step takes some 100 ms to reach all entry hosts, their responses take
 * a processing time, and the counts 250 ms.
 */
constexpr core::Duration MinStepTime = std::chrono::milliseconds(800);
/** Of the operator's time, kept for delays of commits and for a step that waits, beside the permission. */
constexpr core::Duration Reserve = std::chrono::milliseconds(2000);
/** The ramp gets at least this share of the operator's time, however short it is. */
constexpr int MinRampDivisor = 2;
/** How long after the permission entry hosts may still send: a request that was assigned just before its end. */
constexpr core::Duration LastAssignments = std::chrono::milliseconds(500);
/** Responses that a step needs of its own, so that the evidence covers the load of the step. */
constexpr std::uint64_t MinStepResponses = 6;
/** Slots of the new version for each slot of the old ones, from which it can take their requests. */
constexpr double MinRoom = 0.5;

} // namespace

Conductor::Conductor(const Rollout &rollout, core::TimePoint now)
    : m_rollout(rollout)
    , m_stepSeen(now)
    , m_elapsedSince(now)
    , m_elapsed(rollout.elapsed)
{
    if (rollout.state != State::Running) {
        m_endedAt = now;
    }
}

void Conductor::follow(const Rollout &rollout, core::TimePoint now)
{
    const bool isOutdated =
        rollout.number < m_rollout.number
        || (rollout.number == m_rollout.number && (rollout.step < m_rollout.step || m_rollout.state != State::Running));
    if (isOutdated) {
        return;
    }
    if (rollout.number != m_rollout.number) {
        *this = Conductor(rollout, now);
        return;
    }
    if (rollout.step != m_rollout.step) {
        const auto sinceOrder = std::max(elapsed(now), rollout.elapsed);
        m_elapsed = sinceOrder;
        m_elapsedSince = now;
        m_stepSeen = now;
        m_responsesBefore = m_test.newVersion().responses;
    }
    if (rollout.state != State::Running && !m_endedAt) {
        m_endedAt = now;
    }
    m_rollout = rollout;
}

std::optional<Move> Conductor::decide(const RouteCounts &sums, const Situation &situation)
{
    if (m_rollout.state != State::Running) {
        return std::nullopt;
    }
    m_test.update(sums);
    m_firstDecision = m_firstDecision.value_or(situation.now);
    const bool isLastStep = m_rollout.step + 1 == Steps.size();
    const bool isTimeUp = !isLastStep && elapsed(situation.now) >= m_rollout.order.over - Reserve;
    Move move{m_rollout.number, m_rollout.step, MoveKind::RollBack, m_test.verdict(isTimeUp), elapsed(situation.now)};
    if (move.reason != Reason::None) {
        return move;
    }
    move.kind = isLastStep ? MoveKind::Complete : MoveKind::Advance;
    // A new leader has just begun to get counts.
    const bool isSettled = situation.now >= std::max(m_stepSeen, *m_firstDecision) + MinStepTime;
    const bool isDue = isLastStep ? mayComplete(situation) : mayAdvance(situation);
    return isSettled && isDue ? std::optional(move) : std::nullopt;
}

bool Conductor::mayComplete(const Situation &situation) const
{
    return situation.now >= m_stepSeen + situation.permission + LastAssignments
           && m_test.isAccepted(Steps.back().missRate);
}

bool Conductor::mayAdvance(const Situation &situation) const
{
    const auto &next = Steps.at(m_rollout.step + 1);
    const auto over = m_rollout.order.over;
    const auto rampTime = std::max<core::Duration>(over - situation.permission - Reserve, over / MinRampDivisor);
    const auto earliest = std::chrono::duration_cast<core::Duration>(rampTime * next.earliest);
    if (elapsed(situation.now) < earliest) {
        return false;
    }
    const auto room = static_cast<double>(situation.room.newVersion);
    const double share = next.permille / 1000.0;
    if (room <= 0 || room < share * MinRoom * static_cast<double>(situation.room.oldVersions)) {
        return false;
    }
    return m_test.newVersion().responses >= m_responsesBefore + MinStepResponses && m_test.isAccepted(next.missRate);
}

const Rollout &Conductor::rollout() const
{
    return m_rollout;
}

const SequentialTest &Conductor::test() const
{
    return m_test;
}

core::Duration Conductor::elapsed(core::TimePoint now) const
{
    return m_elapsed + (now - m_elapsedSince);
}

std::optional<core::TimePoint> Conductor::endedAt() const
{
    return m_endedAt;
}

} // namespace pimentoshed::rollouts
