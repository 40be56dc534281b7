#include "http/relayrace.h"

#include "http/callerwatch.h"
#include "http/watchdog.h"

#include <array>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace pimentoshed::http
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned Version11 = 11;

Entrant otherOf(Entrant entrant)
{
    return entrant == Entrant::First ? Entrant::Second : Entrant::First;
}

/** A race of at most two attempts. Lives on the stack of the exchange's coroutine until both have ended. */
class RelayRace
{
public:
    RelayRace(Exchange &exchange, ConnectionPool &pool, const RaceHooks &hooks)
        : m_exchange(exchange)
        , m_pool(pool)
        , m_hooks(hooks)
        , m_lanes{makeLane(Entrant::First), makeLane(Entrant::Second)}
        , m_callerWatch(exchange,
                        [this]() {
                            cancel(Entrant::First, true);
                            cancel(Entrant::Second, true);
                        })
        , m_delay(exchange.stream().get_executor(),
                  [this]() {
                      spawnSecond();
                  })
        , m_secondEnd(exchange.stream().get_executor(), asio::steady_timer::time_point::max())
    {
    }

    RaceResult run(RaceEntry entry)
    {
        RaceResult result;
        m_callerWatch.start();
        laneOf(Entrant::First).isActive = true;
        m_delay.arm(m_hooks.delay);
        result.first = runLane(Entrant::First, std::move(entry), m_exchange.yield());
        m_delay.disarm();
        while (laneOf(Entrant::Second).isActive) {
            boost::system::error_code ignored;
            m_secondEnd.async_wait(m_exchange.yield()[ignored]);
        }
        m_callerWatch.stop();
        result.second = std::move(m_secondResult);
        return result;
    }

private:
    /** What belongs to one of the two attempts. */
    struct Lane {
        SharedCaller shared;
        /** The attempt while it runs. */
        RelayAttempt *attempt = nullptr;
        /** From the start of the attempt, or of the search for its target, until its end. */
        bool isActive = false;
        bool isCancelled = false;
        bool hasCallerLeft = false;
    };

    Lane &laneOf(Entrant entrant)
    {
        return m_lanes.at(static_cast<std::size_t>(entrant));
    }

    Lane makeLane(Entrant entrant)
    {
        Lane lane;
        lane.shared = {.claim =
                           [this, entrant]() {
                               return claim(entrant);
                           },
                       .hasClaim =
                           [this, entrant]() {
                               return m_winner == entrant;
                           },
                       .hasOther =
                           [this, entrant]() {
                               return laneOf(otherOf(entrant)).isActive;
                           }};
        return lane;
    }

    bool claim(Entrant entrant)
    {
        if (!m_winner) {
            m_winner = entrant;
            m_callerWatch.stop();
            cancel(otherOf(entrant), false);
        }
        return m_winner == entrant;
    }

    void cancel(Entrant entrant, bool hasCallerLeft)
    {
        auto &lane = laneOf(entrant);
        lane.isCancelled = true;
        lane.hasCallerLeft = hasCallerLeft;
        if (lane.attempt != nullptr) {
            lane.attempt->cancel(hasCallerLeft);
        }
    }

    void spawnSecond()
    {
        if (m_winner || laneOf(Entrant::First).isCancelled) {
            return;
        }
        laneOf(Entrant::Second).isActive = true;
        asio::spawn(m_exchange.stream().get_executor(), [this](const Yield &yield) {
            if (auto entry = m_hooks.makeSecond(yield)) {
                m_secondResult = runLane(Entrant::Second, std::move(*entry), yield);
            }
            laneOf(Entrant::Second).isActive = false;
            m_secondEnd.cancel();
        });
    }

    /** Runs an attempt, on a new connection once more if a reused one turns out to be closed. */
    RelayResult runLane(Entrant entrant, RaceEntry entry, const Yield &yield)
    {
        auto connection = entry.connection
                              ? std::move(entry.connection)
                              : m_pool.take(entry.options.address, entry.options.hooks().requestId(m_exchange));
        auto result = cancelledResult(entrant);
        bool isStale = false;
        do {
            if (laneOf(entrant).isCancelled) {
                break;
            }
            RelayAttempt attempt(m_exchange, entry.options, std::move(connection), yield, &laneOf(entrant).shared);
            laneOf(entrant).attempt = &attempt;
            result = isStale ? combineResults(result, attempt.run()) : attempt.run();
            laneOf(entrant).attempt = nullptr;
            attempt.returnConnection(m_pool);
            isStale = !isStale && attempt.wasStale();
            connection = isStale ? m_pool.make() : nullptr;
        } while (isStale);
        if (entrant == Entrant::First) {
            laneOf(entrant).isActive = false;
        }
        m_hooks.onEnd(entrant, result);
        return result;
    }

    /** The result of an attempt that was cancelled before anything was sent. */
    RelayResult cancelledResult(Entrant entrant)
    {
        const bool hasCallerLeft = laneOf(entrant).hasCallerLeft;
        RelayResult result;
        result.callerLeft = hasCallerLeft;
        result.isSuperseded = !hasCallerLeft;
        result.outcome.failure =
            core::Error{hasCallerLeft ? core::ErrorCode::CallerTooSlow : core::ErrorCode::TargetFailed, "not sent"};
        return result;
    }

    Exchange &m_exchange;
    ConnectionPool &m_pool;
    const RaceHooks &m_hooks;
    std::array<Lane, 2> m_lanes;
    /** The attempt whose response goes to the caller. */
    std::optional<Entrant> m_winner;
    std::optional<RelayResult> m_secondResult;
    CallerWatch m_callerWatch;
    Watchdog m_delay;
    asio::steady_timer m_secondEnd;
};

} // namespace

bool canRace(Exchange &exchange)
{
    const auto &body = exchange.body();
    // A response to HTTP/1.0 may have to end with its connection, which is prepared before it is known who wins.
    return exchange.request().version() >= Version11 && (!body.present() || body.keptBody().has_value());
}

RaceResult relayRace(Exchange &exchange, ConnectionPool &pool, RaceEntry first, const RaceHooks &hooks)
{
    return RelayRace(exchange, pool, hooks).run(std::move(first));
}

} // namespace pimentoshed::http
