/**
 * @file
 * One accepted connection of a server, and the state that all of its connections share.
 */
#pragma once

#include "core/rankedmutex.h"
#include "http/jsonreply.h"
#include "http/server.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <memory>
#include <string>
#include <utility>

namespace pimentoshed::http
{

/** Stack size of a connection's coroutine. Pages that are never touched take up no memory. */
constexpr std::size_t ConnectionStackBytes = 256UL << 10U;

/** State that the server and its connections share. */
struct ServerState {
    ServerState(Handler requestHandler, ServerLimits serverLimits)
        : handler(std::move(requestHandler))
        , limits(serverLimits)
    {
    }

    const Handler handler;
    const ServerLimits limits;
    /** Whether each connection is closed after its next response. */
    std::atomic<bool> closing{false};
    /** Whether connections are closed as soon as no request is in progress on them. */
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> inProgress{0};

    void connectionStarted()
    {
        ++connections;
    }

    void connectionEnded()
    {
        if (--connections == 0) {
            notifyIfDone();
        }
    }

    void setOnDone(std::function<void()> hook)
    {
        {
            const core::Lock lock(m_mutex);
            m_onDone = std::move(hook);
        }
        notifyIfDone();
    }

    /** Calls the hook, once, if no connection is left and none will be accepted. */
    void notifyIfDone()
    {
        if (!accepting && connections == 0) {
            std::function<void()> hook;
            {
                const core::Lock lock(m_mutex);
                hook.swap(m_onDone);
            }
            if (hook) {
                hook();
            }
        }
    }

    std::atomic<bool> accepting{true};
    std::atomic<std::size_t> connections{0};

private:
    core::RankedMutex m_mutex{core::LockRank::Connections};
    std::function<void()> m_onDone;
};

/** One accepted connection. Lives as long as its coroutine. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> serverState)
        : m_stream(std::move(socket))
        , m_serverState(std::move(serverState))
    {
        m_serverState->connectionStarted();
    }

    ~ServerConnection()
    {
        m_serverState->connectionEnded();
    }

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start()
    {
        boost::asio::spawn(
            m_stream.get_executor(),
            [self = shared_from_this()](const Yield &yield) {
                self->serve(yield);
            },
            boost::coroutines::attributes(ConnectionStackBytes));
    }

    /** Closes the connection unless a request is in progress on it or has begun to arrive. */
    void closeIfIdle()
    {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this()]() {
            if (self->m_isIdle) {
                self->m_stream.cancel();
            }
        });
    }

private:
    void serve(const Yield &yield)
    {
        boost::beast::error_code ignored;
        m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        while (serveOne(yield)) {
        }
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        if (m_readsOn) {
            discardUnread(yield);
        }
        m_stream.close();
    }

    /**
     * Reads and discards what the caller still sends, up to a limit. Closing a connection with unread bytes resets it,
     * and the caller could lose the response.
     */
    void discardUnread(const Yield &yield)
    {
        constexpr auto DiscardTime = std::chrono::seconds(1);
        constexpr std::size_t DiscardBytes = 4U << 20U;
        constexpr std::size_t PieceBytes = 16384;
        m_stream.expires_after(DiscardTime);
        std::string piece(PieceBytes, '\0');
        std::size_t discarded = 0;
        boost::beast::error_code failure;
        while (!failure && discarded < DiscardBytes) {
            discarded += m_stream.async_read_some(boost::asio::buffer(piece), yield[failure]);
        }
    }

    /** Serves one request. Returns whether another may follow. */
    bool serveOne(const Yield &yield)
    {
        RequestParser parser;
        parser.header_limit(m_serverState->limits.headerBytes);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        if (!awaitFirstByte(yield) || !readHeader(parser, yield)) {
            return false;
        }
        ++m_serverState->inProgress;
        m_stream.expires_never();
        Exchange exchange(m_stream, m_buffer, parser, yield);
        exchange.closeAfterwardsIf([this]() {
            return m_serverState->closing.load();
        });
        m_serverState->handler(exchange);
        --m_serverState->inProgress;
        m_readsOn = exchange.willClose() || m_serverState->draining;
        return !m_readsOn;
    }

    bool awaitFirstByte(const Yield &yield)
    {
        constexpr std::size_t FirstReadBytes = 4096;
        if (m_buffer.size() > 0) {
            return true;
        }
        boost::beast::error_code failure;
        if (!m_serverState->draining) {
            m_stream.expires_after(m_serverState->limits.idleTimeout);
            m_isIdle = true;
            const auto count = m_stream.async_read_some(m_buffer.prepare(FirstReadBytes), yield[failure]);
            m_isIdle = false;
            m_buffer.commit(count);
        }
        // While draining, a request that has arrived but was not read yet is still served.
        boost::beast::error_code unknown;
        return m_buffer.size() > 0 || (m_serverState->draining && m_stream.socket().available(unknown) > 0);
    }

    bool readHeader(RequestParser &parser, const Yield &yield)
    {
        m_stream.expires_after(m_serverState->limits.headerTimeout);
        boost::beast::error_code failure;
        boost::beast::http::async_read_header(m_stream, m_buffer, parser, yield[failure]);
        if (!failure) {
            const auto fault = requestFault(parser.get());
            if (fault) {
                refuseMalformed(*fault, parser, yield);
            }
            return !fault;
        }
        if (failure != boost::beast::error::timeout && failure != boost::beast::http::error::end_of_stream) {
            refuseMalformed(failure.message(), parser, yield);
        }
        return false;
    }

    void refuseMalformed(std::string detail, RequestParser &parser, const Yield &yield)
    {
        Exchange exchange(m_stream, m_buffer, parser, yield);
        exchange.closeAfterwards();
        auto reply =
            errorReply(boost::beast::http::status::bad_request, {core::ErrorCode::RequestMalformed, std::move(detail)});
        reply.headers.emplace_back(RunHeader, "not-run");
        exchange.send(reply);
        m_readsOn = true;
    }

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{MaxUnparsedBytes};
    std::shared_ptr<ServerState> m_serverState;
    /** Whether the connection waits for the first byte of a request. */
    bool m_isIdle = false;
    /** Whether the connection is read on behind its last response before it is closed. */
    bool m_readsOn = false;
};

} // namespace pimentoshed::http
