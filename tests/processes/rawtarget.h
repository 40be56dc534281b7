/**
 * @file
 * A target that responds with any bytes, also with such as are no response.
 */
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

namespace pimentoshed::processes
{

/** Returns the value of the header @p name in @p head; empty if it has none. */
std::string headerOf(const std::string &head, const std::string &name);

/** Resets the connection of the socket @p descriptor without closing the descriptor, which is left to its owner. */
void resetConnection(int descriptor);

/** Accepts connections, each with a thread of its own, and leaves the response to each request without a body to a
 * hook. */
class RawTarget
{
public:
    /**
     * Responds to the request with @p head on the socket @p descriptor. Returns whether the connection stays open.
     * Called on the connection's thread.
     */
    using Responder = std::function<bool(int descriptor, const std::string &head)>;

    /** Listens at @p address. Fails the test if that is not possible. */
    RawTarget(const std::string &address, Responder respond);
    /** Closes all connections, which ends the writes of hooks, and waits for their threads. */
    ~RawTarget();
    RawTarget(const RawTarget &) = delete;
    RawTarget &operator=(const RawTarget &) = delete;

private:
    struct Connection {
        int descriptor;
        std::thread thread;
    };

    void run();
    void serve(int descriptor) const;

    const Responder m_respond;
    const int m_listener;
    std::atomic<bool> m_isStopping{false};
    std::list<Connection> m_connections;
    std::thread m_acceptor;
};

} // namespace pimentoshed::processes
