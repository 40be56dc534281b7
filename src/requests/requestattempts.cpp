#include "requests/requestattempts.h"

#include <algorithm>

namespace pimentoshed::requests
{

namespace
{

/** Maximum number of attempts of one request, including the first. */
constexpr std::size_t MaxAttempts = 3;

/** Order in which run states override each other when attempts are combined; the highest value wins. */
int combinationRank(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return 0;
    case RunState::Ran:
        return 1;
    case RunState::Unknown:
        return 2;
    }
    return 2;
}

} // namespace

RequestAttempts::RequestAttempts(const RequestProperties &properties, RetryBudget &budget)
    : m_properties(properties)
    , m_budget(budget)
{
}

AttemptIndex RequestAttempts::beginAttempt(const core::TargetId &target, core::TimePoint now)
{
    if (m_attempts.empty()) {
        m_budget.recordFirstAttempt();
    }
    m_attempts.push_back({now, true, {}});
    m_triedTargets.push_back(target);
    return m_attempts.size() - 1;
}

CallChain RequestAttempts::chain() const
{
    return m_properties.chain.nextLevel(!m_attempts.empty());
}

std::span<const core::TargetId> RequestAttempts::triedTargets() const
{
    return m_triedTargets;
}

bool RequestAttempts::tryHedge(core::TimePoint now, core::Duration lateThreshold)
{
    const bool hasOneRunning = runningCount() == 1 && m_attempts.back().isRunning;
    if (!hasOneRunning || m_isHedged || !m_properties.idempotent || !canSendAgain(now)) {
        return false;
    }
    const bool isLate = now - m_attempts.back().start > lateThreshold;
    const bool isInTime = m_properties.deadline - now > lateThreshold;
    m_isHedged = isLate && isInTime && m_budget.tryWithdraw();
    return m_isHedged;
}

NextAction RequestAttempts::endAttempt(AttemptIndex attempt, const RequestOutcome &outcome, core::TimePoint now)
{
    auto &ended = m_attempts[attempt];
    ended.isRunning = false;
    ended.outcome = outcome;
    if (!outcome.failure) {
        NextAction action{NextActionKind::Deliver, {}, outcome};
        for (AttemptIndex other = 0; other < m_attempts.size(); ++other) {
            if (m_attempts[other].isRunning) {
                action.cancelled.push_back(other);
            }
        }
        return action;
    }
    const bool isSafeToRepeat = outcome.run == RunState::NotRun || m_properties.idempotent;
    if (runningCount() == 0 && isSafeToRepeat && canSendAgain(now) && m_budget.tryWithdraw()) {
        return {NextActionKind::Retry, {}, {}};
    }
    return waitOrRefuse();
}

NextAction RequestAttempts::abandonRetry()
{
    m_budget.refund();
    return waitOrRefuse();
}

bool RequestAttempts::canSendAgain(core::TimePoint now) const
{
    return m_properties.isReplayable && now < m_properties.deadline && !m_properties.chain.isRetryOrHedge
           && m_attempts.size() < MaxAttempts;
}

std::size_t RequestAttempts::runningCount() const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &attempt) {
        return attempt.isRunning;
    }));
}

NextAction RequestAttempts::waitOrRefuse() const
{
    if (runningCount() > 0) {
        return {NextActionKind::Wait, {}, {}};
    }
    return {NextActionKind::Refuse, {}, combinedOutcome()};
}

/** Combines all attempts: NotRun only if none of them can have run; the failure is that of the last attempt. */
RequestOutcome RequestAttempts::combinedOutcome() const
{
    RequestOutcome combined;
    for (const auto &attempt : m_attempts) {
        if (combinationRank(attempt.outcome.run) > combinationRank(combined.run)) {
            combined.run = attempt.outcome.run;
        }
        combined.failure = attempt.outcome.failure;
    }
    return combined;
}

} // namespace pimentoshed::requests
