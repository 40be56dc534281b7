/**
 * @file
 * Relays a caller's request to one target and, if its response is late, to a second one at the same time.
 */
#pragma once

#include "http/relay.h"
#include "http/relayattempt.h"

#include <functional>
#include <memory>
#include <optional>

namespace pimentoshed::http
{

/** One of the two attempts of a race. */
enum class Entrant : std::uint8_t {
    First,
    Second,
};

/** An attempt of a race. */
struct RaceEntry {
    RelayOptions options;
    /** The connection to use, or null to take one from the pool. */
    std::unique_ptr<TargetConnection> connection;
};

/** When there is a second attempt, and what happens at the end of each attempt. */
struct RaceHooks {
    /** How long to wait for the first attempt's response. */
    core::Duration delay{};
    /**
     * Called once if the first attempt has neither sent anything to the caller nor ended by then. Runs in a coroutine
     * of its own, whose @c yield it may use. Returns the second attempt; nothing if there is none.
     */
    std::function<std::optional<RaceEntry>(const Yield &yield)> makeSecond;
    /** Called when an attempt has ended, at once also for one that isn't needed any more. */
    std::function<void(Entrant, const RelayResult &)> onEnd;
};

/** The results of both attempts. */
struct RaceResult {
    RelayResult first;
    /** Unset if there was no second attempt. */
    std::optional<RelayResult> second;
};

/** Whether the request of @p exchange can be sent to two targets: its whole body, if any, is kept. */
bool canRace(Exchange &exchange);

/**
 * Runs the attempts within the exchange's coroutine and a second one on the same strand. The response that is complete
 * first, or of which as much has come as is buffered, goes to the caller; the other attempt is superseded, and its
 * connection closed at once. An attempt that fails ends nothing but itself. Both end when the
 * caller leaves. Only for idempotent requests for which canRace() holds.
 */
RaceResult relayRace(Exchange &exchange, ConnectionPool &pool, RaceEntry first, const RaceHooks &hooks);

} // namespace pimentoshed::http
