#include "entry/refusals.h"

#include "requests/retryafter.h"

#include <optional>
#include <utility>

namespace pimentoshed::entry
{

Refusals::Refusals(const CallerHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

void Refusals::refuse(http::Exchange &exchange,
                      requests::RequestOutcome outcome,
                      const core::ServiceName *service,
                      std::optional<core::Duration> retryAfter) const
{
    if (outcome.run == requests::RunState::Ran) {
        outcome.run = requests::RunState::Unknown;
    }
    if (!retryAfter) {
        std::optional<requests::RefusedService> refused;
        if (service != nullptr) {
            const auto now = m_dependencies.timers.now();
            refused = {.usualProcessingTime = m_dependencies.router.usualProcessingTime(*service),
                       .pause = m_dependencies.router.pausedUntil(*service, now).value_or(now) - now};
        }
        retryAfter = requests::retryAfter(outcome, refused, m_dependencies.random);
    }
    exchange.send(m_dependencies.protocolHooks.makeRefusal({std::move(outcome), retryAfter}));
}

} // namespace pimentoshed::entry
