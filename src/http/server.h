/**
 * @file
 * Serves HTTP/1.1 connections, each in a coroutine on the workers.
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

/** Answers one request. Must send an answer or call closeAfterwards. */
using Handler = std::function<void(Exchange &)>;

/** What callers may ask of a server's patience and memory. */
struct ServerLimits {
    core::Duration headerTimeout = std::chrono::seconds(10);
    core::Duration idleTimeout = std::chrono::seconds(60);
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

    /** The bound address; differs from the asked one where port 0 was asked. */
    std::string address() const;

    /** From now on each connection is closed after the answer it is at. Still accepts. */
    void closeAfterAnswers();

    /** Stops accepting and closes the connections on which no request is in progress. */
    void drain();

    /** Drains, and calls @p onDone once when the last connection has ended. */
    void drain(std::function<void()> onDone);

    /** Requests in progress. */
    std::size_t inProgress() const;

private:
    class Impl;
    explicit Server(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::http
