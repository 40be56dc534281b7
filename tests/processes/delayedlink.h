/**
 * @file
 * A link between callers and a host that delays all bytes, as between places.
 */
#pragma once

#include "core/time.h"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace pimentoshed::processes
{

/** Accepts connections and forwards each to a host, with the same delay in both directions. */
class DelayedLink
{
public:
    /** Forwards connections to @p address to the host at @p host. Fails the test if it can't listen. */
    DelayedLink(const std::string &address, std::string host, core::Duration delay);
    /** Closes all connections and waits for their threads. */
    ~DelayedLink();
    DelayedLink(const DelayedLink &) = delete;
    DelayedLink &operator=(const DelayedLink &) = delete;

    /** Number of connections that the host reset after it had sent the end of an answer or a part of one. */
    unsigned resetsAfterAnswer() const;

private:
    struct Connection {
        int caller = -1;
        int host = -1;
        std::atomic<bool> hasAnswer{false};
        /** The directions that are still forwarded. The last one to end closes the sockets. */
        std::atomic<unsigned> directions{2};
        std::thread requests;
        std::thread answers;
    };

    void run();
    void forwardRequests(Connection &connection);
    void forwardAnswers(Connection &connection);
    void endDirection(Connection &connection);

    const std::string m_host;
    const core::Duration m_delay;
    const int m_listener;
    std::atomic<bool> m_isStopping{false};
    std::atomic<unsigned> m_resets{0};
    /** Guards the descriptors of connections. */
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::thread m_acceptor;
};

} // namespace pimentoshed::processes
