#include "entry/requestadmission.h"

#include <algorithm>
#include <variant>

namespace pimentoshed::entry
{

using core::ErrorCode;

namespace
{

/**
 * How long a request may wait for this host's first confirmed configuration, and the divisor of the caller's timeout
 * that limits it further. Hosts that start together are configured within some 400 ms.
 */
constexpr core::Duration MaxStartWait = std::chrono::milliseconds(500);
constexpr int StartWaitDivisor = 4;
constexpr core::Duration StartWaitStep = std::chrono::milliseconds(10);
/** How long a request body may take to arrive before a target is chosen. */
constexpr core::Duration BodyTimeout = std::chrono::seconds(10);

} // namespace

RequestAdmission::RequestAdmission(const CallerHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

bool RequestAdmission::awaitConfiguration(http::Exchange &exchange) const
{
    if (m_dependencies.view.hasConfirmedConfiguration()) {
        return true;
    }
    const auto timeout = m_dependencies.protocolHooks.callerTimeout(exchange);
    const auto share =
        core::ok(timeout) && core::value(timeout) ? *core::value(timeout) / StartWaitDivisor : MaxStartWait;
    const auto end = m_dependencies.timers.now() + std::min(MaxStartWait, share);
    while (!m_dependencies.view.hasConfirmedConfiguration() && m_dependencies.timers.now() < end) {
        if (!waitFor(exchange, StartWaitStep)) {
            return false;
        }
    }
    return true;
}

core::Status RequestAdmission::prefetchBody(const ActiveRequest &request) const
{
    auto &exchange = request.exchange;
    if (!exchange.body().present()) {
        return std::monostate{};
    }
    const auto deadline = request.waiting.deadline();
    const auto timeout = std::min<core::Duration>(BodyTimeout, deadline - m_dependencies.timers.now());
    exchange.sendContinue();
    exchange.stream().expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
    auto received = exchange.body().prefetch(exchange.yield());
    exchange.stream().expires_never();
    if (!core::ok(received) && m_dependencies.timers.now() >= deadline) {
        return core::Error{ErrorCode::CallerTooSlow, "request body not received before the deadline"};
    }
    return received;
}

} // namespace pimentoshed::entry
