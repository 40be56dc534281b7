/**
 * @file
 * Raw sockets for tests of the bytes on the wire: a caller, a server that relays its requests, and a scripted target.
 */
#pragma once

#include "core/workerpool.h"
#include "http/relay.h"
#include "http/server.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoshed::http::fakes
{

/** A blocking TCP socket. Each read and write gives up after some seconds. */
class RawSocket
{
public:
    explicit RawSocket(int descriptor);
    ~RawSocket();
    RawSocket(RawSocket &&other) noexcept;
    RawSocket &operator=(RawSocket &&) = delete;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    static RawSocket connect(const std::string &address);

    /** Writes all @p bytes. Returns false if the peer closed the connection before that, or time ran out. */
    bool write(const std::string &bytes);
    /** Returns the bytes up to and including @p end, or up to the end of the connection. */
    std::string readUntil(const std::string &end);
    /** Returns @p count bytes, or fewer if the connection ends before that. */
    std::string read(std::size_t count);
    /** Returns all bytes up to the end of the connection. */
    std::string readAll();
    /** Whether the last read was ended by a reset. */
    bool wasReset() const;
    void closeSending();
    void close();
    void reset();

private:
    int m_descriptor;
    std::string m_received;
    bool m_wasReset = false;
    bool fill();
};

/** Accepts connections one after the other and runs a script on each, with the connection's number from 0. */
class ScriptedTarget
{
public:
    using Script = std::function<void(RawSocket &, unsigned)>;
    explicit ScriptedTarget(Script script);
    ~ScriptedTarget();
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    std::string address() const;
    unsigned accepted() const;

private:
    void run();

    Script m_script;
    int m_listener;
    std::string m_address;
    std::atomic<unsigned> m_accepted{0};
    std::thread m_thread;
};

/** A server that relays every request to one target and keeps the result of each attempt. */
class RelayServer
{
public:
    explicit RelayServer(std::string target, RelayOptions options = {});
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    RawSocket caller() const;
    /** Returns the next result, in order; fails the test if there is none in time. */
    RelayResult nextResult();
    /** Number of idle connections to the target in the pool. */
    std::size_t idleConnections() const;

private:
    void relayOne(Exchange &exchange);

    RelayOptions m_options;
    core::WorkerPool m_pool;
    ConnectionPool m_connections;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<RelayResult> m_results;
    std::size_t m_taken = 0;
    std::shared_ptr<Server> m_server;
};

/** Options with a deadline of @p millis from the start of each request. */
RelayOptions relayOptions(bool idempotent, unsigned millis = 3000);

} // namespace pimentoshed::http::fakes
