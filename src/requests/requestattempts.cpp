#include "requests/requestattempts.h"

#include <algorithm>

namespace pimentoshed::requests
{

namespace
{

/** Attempts of one request, the first among them. */
constexpr std::size_t MaxAttempts = 3;

/** From what is best known to be harmless to what is least known. */
int doubt(RunState run)
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

RequestAttempts::RequestAttempts(const RequestProperties &terms, RetryBudget &budget)
    : m_terms(terms)
    , m_budget(budget)
{
}

AttemptIndex RequestAttempts::beginAttempt(const core::TargetId &target, core::TimePoint now)
{
    if (m_attempts.empty()) {
        m_budget.recordFirstAttempt();
    }
    m_attempts.push_back({now, true, {}});
    m_tried.push_back(target);
    return m_attempts.size() - 1;
}

CallChain RequestAttempts::chain() const
{
    return m_terms.chain.nextLevel(!m_attempts.empty());
}

std::span<const core::TargetId> RequestAttempts::triedTargets() const
{
    return m_tried;
}

bool RequestAttempts::tryHedge(core::TimePoint now, core::Duration lateAfter)
{
    const bool oneRuns = running() == 1 && m_attempts.back().running;
    if (!oneRuns || m_hedged || !m_terms.idempotent || !mayRepeat(now)) {
        return false;
    }
    const bool late = now - m_attempts.back().start > lateAfter;
    const bool inTime = m_terms.deadline - now > lateAfter;
    m_hedged = late && inTime && m_budget.tryWithdraw();
    return m_hedged;
}

NextAction RequestAttempts::endAttempt(AttemptIndex attempt, const RequestOutcome &outcome, core::TimePoint now)
{
    auto &ended = m_attempts[attempt];
    ended.running = false;
    ended.outcome = outcome;
    if (!outcome.failure) {
        NextAction step{NextActionKind::Deliver, {}, outcome};
        for (AttemptIndex other = 0; other < m_attempts.size(); ++other) {
            if (m_attempts[other].running) {
                step.cancelled.push_back(other);
            }
        }
        return step;
    }
    const bool harmless = outcome.run == RunState::NotRun || m_terms.idempotent;
    if (running() == 0 && harmless && mayRepeat(now) && m_budget.tryWithdraw()) {
        return {NextActionKind::Retry, {}, {}};
    }
    return waitOrRefuse();
}

NextAction RequestAttempts::abandonRetry()
{
    m_budget.refund();
    return waitOrRefuse();
}

bool RequestAttempts::mayRepeat(core::TimePoint now) const
{
    return m_terms.isReplayable && now < m_terms.deadline && !m_terms.chain.isRetryOrHedge
           && m_attempts.size() < MaxAttempts;
}

std::size_t RequestAttempts::running() const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &attempt) {
        return attempt.running;
    }));
}

NextAction RequestAttempts::waitOrRefuse() const
{
    if (running() > 0) {
        return {NextActionKind::Wait, {}, {}};
    }
    return {NextActionKind::Refuse, {}, together()};
}

/** What is known of all attempts: not run only if none of them ran; the last failure says why. */
RequestOutcome RequestAttempts::together() const
{
    RequestOutcome known;
    for (const auto &attempt : m_attempts) {
        if (doubt(attempt.outcome.run) > doubt(known.run)) {
            known.run = attempt.outcome.run;
        }
        known.failure = attempt.outcome.failure;
    }
    return known;
}

} // namespace pimentoshed::requests
