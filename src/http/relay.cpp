#include "http/relay.h"

#include "http/relayattempt.h"

#include <utility>

namespace pimentoshed::http
{

namespace
{

bool canResend(const RelayResult &result, const RelayOptions &options)
{
    const bool isSafe = options.idempotent || result.outcome.run == requests::RunState::NotRun;
    return isSafe && !result.sentToCaller && !result.bodyConsumed;
}

} // namespace

const ProtocolHooks &RelayOptions::hooks() const
{
    static const auto defaultHooks = defaultProtocolHooks();
    return protocolHooks == nullptr ? defaultHooks : *protocolHooks;
}

RelayResult combineResults(const RelayResult &first, RelayResult resent)
{
    if (resent.outcome.run == requests::RunState::NotRun) {
        resent.outcome.run = first.outcome.run;
    }
    resent.connection.strayResponses += first.connection.strayResponses;
    return resent;
}

RelayResult relay(Exchange &exchange, ConnectionPool &pool, const RelayOptions &options)
{
    // Whether a target has closed an idle connection may show only when it is used, and then it may be unknown whether
    // the request ran. A request that must not run twice therefore gets only a recently used connection.
    const auto requestId = options.hooks().requestId(exchange);
    auto connection = options.idempotent ? pool.take(options.address, requestId)
                                         : pool.takeFresh(options.address, requestId, core::steadyNow());
    return relayOn(std::move(connection), exchange, pool, options);
}

RelayResult relayOn(std::unique_ptr<TargetConnection> connection,
                    Exchange &exchange,
                    ConnectionPool &pool,
                    const RelayOptions &options)
{
    const auto kept = exchange.body().keptBody();
    const auto length = exchange.body().length().value_or(kept ? kept->size() : 0);
    if (length > options.maxRequestBytes) {
        RelayResult refused;
        refused.outcome = {requests::RunState::NotRun, core::Error{core::ErrorCode::RequestTooLarge, {}}};
        return refused;
    }
    RelayAttempt first(exchange, options, std::move(connection), exchange.yield());
    auto result = first.run();
    if (first.wasStale() && canResend(result, options)) {
        exchange.body().rewind();
        RelayAttempt second(exchange, options, pool.make(), exchange.yield());
        result = combineResults(result, second.run());
        second.returnConnection(pool);
        return result;
    }
    first.returnConnection(pool);
    return result;
}

} // namespace pimentoshed::http
