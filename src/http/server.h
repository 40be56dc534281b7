/**
 * @file
 * Serves HTTP/1.1 connections, each in a coroutine on the worker threads.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "http/exchange.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pimentoshed::http
{

/** Serves one request. Must send a response or call Exchange::closeAfterwards(). */
using Handler = std::function<void(Exchange &)>;

/** Limits of the time and memory that callers may take up. */
struct ServerLimits {
    /** Time that a request's head may take to arrive, from its first byte. */
    core::Duration headerTimeout = std::chrono::seconds(10);
    /** Time that a connection may wait for the first byte of a request. */
    core::Duration idleTimeout = std::chrono::seconds(60);
    /** Size that a request's head may have. */
    std::uint32_t headerBytes = 16384;
};

/** Listens on one address. Thread-safe. */
class Server
{
public:
    class Builder
    {
    public:
        explicit Builder(boost::asio::io_context &context);
        Builder &address(std::string address);
        Builder &handler(Handler handler);
        Builder &limits(ServerLimits limits);
        /** Binds and starts. Errors: SettingInvalid, ListenFailed. */
        core::Result<std::shared_ptr<Server>> start();

    private:
        boost::asio::io_context &m_context;
        std::string m_address;
        Handler m_handler;
        ServerLimits m_limits;
    };

    ~Server();

    /** Returns the bound address. It differs from the configured one if that has port 0. */
    std::string address() const;

    /** Makes each connection close after its next response. Connections are still accepted. */
    void closeAfterAnswers();

    /** Stops accepting and closes the connections on which no request is in progress. */
    void drain();

    /** As drain(), and calls @p onDone once when the last connection has ended. */
    void drain(std::function<void()> onDone);

    /** Number of requests in progress. */
    std::size_t inProgress() const;

private:
    class Impl;
    explicit Server(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::http
