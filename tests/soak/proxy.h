/**
 * @file
 * A loopback proxy that delays, holds or resets the connections between processes.
 */
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace pimentoshed::soak
{

/** What a link does with the bytes of its connections. */
enum class LinkState : std::uint8_t {
    Open,
    /** Every piece is passed on later. */
    Delayed,
    /** As if no packet arrived, in one direction or both: bytes are held until the link is open again. */
    HeldForward,
    HeldBackward,
    Held,
    /** Connections are reset, new ones too. */
    Reset,
};

/** All links, each from one listening address to one address. Runs in a thread of its own. */
class Proxy
{
public:
    Proxy();
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /** Adds the link @p name from @p listen to @p forward, both IP:PORT. Call before any of its connections is made. */
    void addLink(const std::string &name, const std::string &listen, const std::string &forward);

    void setState(const std::string &name, LinkState state);

private:
    class Link;

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::map<std::string, std::shared_ptr<Link>> m_links;
    std::thread m_thread;
};

} // namespace pimentoshed::soak
