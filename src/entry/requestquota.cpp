#include "entry/requestquota.h"

#include "http/await.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::entry
{

using core::ErrorCode;

namespace
{

/** Divisor of a request's objective: this part of it may pass before the decision. */
constexpr int ObjectiveDivisor = 4;
/**
 * Lower bound of that part, and its value for routes without an objective. A host with a tenth of a processor may
 * not run for 100 ms, and a refusal costs its caller more than that.
 */
constexpr core::Duration MinWait = std::chrono::milliseconds(150);

} // namespace

RequestQuota::RequestQuota(const core::TimerService &timers, quotas::SpendHook spend, quotas::GiveBackHook giveBack)
    : m_timers(timers)
    , m_spend(std::move(spend))
    , m_giveBack(std::move(giveBack))
{
}

core::Status RequestQuota::take(ActiveRequest &request) const
{
    if (isCovered(request)) {
        return std::monostate{};
    }
    const auto workspace = request.caller.workspace;
    const auto decision =
        http::await<quotas::Decision>(request.exchange, [&](const std::function<void(quotas::Decision)> &callback) {
            m_spend(*workspace, latestDecision(request), callback);
        });
    switch (decision.verdict) {
    case quotas::Verdict::Admitted:
        request.quotaToken = {workspace, decision.token};
        return std::monostate{};
    case quotas::Verdict::OverQuota:
        request.retryAfter = decision.retryAfter;
        return core::Error{ErrorCode::OverQuota, workspace->name.str()};
    case quotas::Verdict::Unknown:
        break;
    }
    request.retryAfter = decision.retryAfter;
    return core::Error{ErrorCode::QuotaUnknown, workspace->name.str()};
}

void RequestQuota::giveBack(ActiveRequest &request) const
{
    if (request.quotaToken) {
        m_giveBack(*request.quotaToken->workspace, request.quotaToken->token);
        request.quotaToken.reset();
    }
}

bool RequestQuota::isCovered(const ActiveRequest &request) const
{
    const auto &workspace = request.caller.workspace;
    if (!workspace || workspace->requestsPerSecond <= 0) {
        return true;
    }
    const auto &token = request.quotaToken;
    return token && token->workspace->name == workspace->name && m_timers.now() < token->token.validUntil;
}

core::TimePoint RequestQuota::latestDecision(const ActiveRequest &request) const
{
    const auto wait = std::max<core::Duration>(MinWait, request.waiting.objective() / ObjectiveDivisor);
    return std::min(m_timers.now() + wait, request.waiting.deadline());
}

} // namespace pimentoshed::entry
