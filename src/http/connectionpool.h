/**
 * @file
 * Keeps connections to targets open between requests.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/time.h"
#include "http/exchange.h"
#include "requests/carriedrequests.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentoshed::http
{

/** A connection to a target. Used by one coroutine at a time. */
struct TargetConnection {
    TargetConnection(boost::asio::io_context &context, std::uint64_t connectionNumber)
        : socket(context)
        , number(connectionNumber)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{MaxUnparsedBytes};
    /** Identifies the connection in logs; unique in this process. */
    const std::uint64_t number;
    /** Whether it has carried a request or a load probe before. */
    bool reused = false;
    requests::CarriedRequests carried;
    core::TimePoint idleSince{};
};

/** Idle connections by target address. Thread-safe; lock rank Connections. */
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &context);

    /**
     * Returns an idle connection to @p address that the target has not closed and that may carry the request with
     * @p requestId, or a new one that is not connected.
     */
    std::unique_ptr<TargetConnection> take(const std::string &address, std::string_view requestId);

    /** As take(), but only for connections used so recently that their target can't have closed them yet. */
    std::unique_ptr<TargetConnection> takeFresh(const std::string &address,
                                                std::string_view requestId,
                                                core::TimePoint now);

    /** Returns a new connection that is not connected. */
    std::unique_ptr<TargetConnection> make();

    /** Keeps @p connection for a later request, or closes it if it is full or enough are idle for @p address. */
    void give(const std::string &address, std::unique_ptr<TargetConnection> connection, core::TimePoint now);

    /** Closes the connections that were idle for longer than @p limit. */
    void closeIdle(core::TimePoint now, core::Duration limit);

    std::size_t idleCount() const;

private:
    std::unique_ptr<TargetConnection> takeIdleSince(const std::string &address,
                                                    std::string_view requestId,
                                                    core::TimePoint since);

    boost::asio::io_context &m_context;
    std::atomic<std::uint64_t> m_nextNumber{1};
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::unordered_map<std::string, std::vector<std::unique_ptr<TargetConnection>>> m_idle;
};

} // namespace pimentoshed::http
