#include "http/relay.h"

#include "http/relayattempt.h"

#include <utility>

namespace pimentoshed::http
{

namespace
{

bool mayRepeat(const RelayResult &result, const RelayOptions &terms)
{
    const bool harmless = terms.idempotent || result.outcome.run == requests::RunState::NotRun;
    return harmless && !result.sentToCaller && !result.bodyConsumed;
}

} // namespace

RelayResult relay(Exchange &exchange, ConnectionPool &pool, const RelayOptions &terms)
{
    // Whether an idle connection still stands shows only when it is used: no risk for what must not run twice.
    auto connection = terms.idempotent ? pool.take(terms.address) : pool.takeFresh(terms.address, core::steadyNow());
    return relayOn(std::move(connection), exchange, pool, terms);
}

RelayResult relayOn(std::unique_ptr<TargetConnection> connection,
                    Exchange &exchange,
                    ConnectionPool &pool,
                    const RelayOptions &terms)
{
    const auto length = exchange.body().length();
    if (length && *length > terms.maxRequestBytes) {
        RelayResult refused;
        refused.outcome = {requests::RunState::NotRun, core::Error{core::ErrorCode::RequestTooLarge, {}}};
        return refused;
    }
    RelayAttempt first(exchange, terms, std::move(connection));
    auto result = first.run();
    if (first.wasStale() && mayRepeat(result, terms)) {
        exchange.body().rewind();
        RelayAttempt second(exchange, terms, pool.make());
        result = second.run();
        second.giveBack(pool);
        return result;
    }
    first.giveBack(pool);
    return result;
}

} // namespace pimentoshed::http
