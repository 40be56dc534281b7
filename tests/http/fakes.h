/**
 * @file
 * Raw sockets for tests of what goes over the wire: a target that runs a script, a gate that relays to it, a caller.
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

/** A blocking TCP socket; each read gives up after some seconds. */
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

    /** Writes until all is taken or the other side is gone; whether all was taken. */
    bool write(const std::string &bytes);
    /** What comes until @p end was seen or the connection ends. */
    std::string readUntil(const std::string &end);
    /** Up to @p count bytes; fewer where the connection ends. */
    std::string read(std::size_t count);
    /** All until the connection ends. */
    std::string readAll();
    /** Whether the last read was ended by a reset. */
    bool wasReset() const;
    void closeSending();
    void close();
    void reset();

private:
    int m_descriptor;
    std::string m_held;
    bool m_wasReset = false;
    bool fill();
};

/** Accepts connections one after the other and runs a script on each; the number counts from 0. */
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

/** A server that relays every request to one target and keeps how each attempt ended. */
class RelayServer
{
public:
    explicit RelayServer(std::string target, RelayOptions terms = {});
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    RawSocket caller() const;
    /** The next result, in order; fails the test where none comes in time. */
    RelayResult nextResult();
    std::size_t idleConnections() const;

private:
    void relayOne(Exchange &exchange);

    RelayOptions m_terms;
    core::WorkerPool m_pool;
    ConnectionPool m_connections;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<RelayResult> m_results;
    std::size_t m_taken = 0;
    std::shared_ptr<Server> m_server;
};

/** Terms with a deadline of @p millis from each request's start. */
RelayOptions relayOptions(bool idempotent, unsigned millis = 3000);

} // namespace pimentoshed::http::fakes
