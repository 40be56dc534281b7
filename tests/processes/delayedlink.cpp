#include "processes/delayedlink.h"

#include "http/address.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pimentoshed::processes
{

namespace
{

/** Bytes in flight from the host, about the first congestion window of a connection. */
constexpr int WindowBytes = 16384;

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/** Receives one piece into @p piece. Returns what recv() does. */
ssize_t receive(int descriptor, std::string &piece)
{
    piece.resize(WindowBytes);
    const auto count = recv(descriptor, piece.data(), piece.size(), 0);
    piece.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return count;
}

} // namespace

DelayedLink::DelayedLink(const std::string &address, std::string host, core::Duration delay)
    : m_host(std::move(host))
    , m_delay(delay)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int Backlog = 128;
    const auto endpoint = core::value(http::parseAddress(address));
    setOption(m_listener, SOL_SOCKET, SO_REUSEADDR, 1);
    REQUIRE(bind(m_listener, endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0);
    REQUIRE(listen(m_listener, Backlog) == 0);
    m_acceptor = std::thread([this]() {
        run();
    });
}

DelayedLink::~DelayedLink()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto &connection : m_connections) {
        {
            const std::lock_guard lock(m_mutex);
            shutdown(connection.caller, SHUT_RDWR);
            shutdown(connection.host, SHUT_RDWR);
        }
        connection.requests.join();
        connection.answers.join();
    }
    ::close(m_listener);
}

unsigned DelayedLink::resetsAfterAnswer() const
{
    return m_resets;
}

void DelayedLink::run()
{
    const auto host = core::value(http::parseAddress(m_host));
    while (!m_isStopping) {
        const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller < 0) {
            return;
        }
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setOption(descriptor, SOL_SOCKET, SO_RCVBUF, WindowBytes);
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(caller, IPPROTO_TCP, TCP_NODELAY, 1);
        if (connect(descriptor, host.data(), static_cast<socklen_t>(host.size())) != 0) {
            ::close(descriptor);
            ::close(caller);
            continue;
        }
        auto &connection = m_connections.emplace_back();
        connection.caller = caller;
        connection.host = descriptor;
        connection.requests = std::thread([this, &connection]() {
            forwardRequests(connection);
            endDirection(connection);
        });
        connection.answers = std::thread([this, &connection]() {
            forwardAnswers(connection);
            endDirection(connection);
        });
    }
}

void DelayedLink::forwardRequests(Connection &connection)
{
    std::string piece;
    while (receive(connection.caller, piece) > 0) {
        std::this_thread::sleep_for(m_delay);
        if (!sendAll(connection.host, piece)) {
            m_resets += connection.hasAnswer && !m_isStopping ? 1 : 0;
            return;
        }
    }
    std::this_thread::sleep_for(m_delay);
    shutdown(connection.host, SHUT_WR);
}

void DelayedLink::forwardAnswers(Connection &connection)
{
    std::string piece;
    auto count = receive(connection.host, piece);
    while (count > 0) {
        connection.hasAnswer = true;
        std::this_thread::sleep_for(m_delay);
        if (!sendAll(connection.caller, piece)) {
            break;
        }
        count = receive(connection.host, piece);
    }
    m_resets += count < 0 && connection.hasAnswer && !m_isStopping ? 1 : 0;
    std::this_thread::sleep_for(m_delay);
    shutdown(connection.caller, SHUT_RDWR);
}

void DelayedLink::endDirection(Connection &connection)
{
    if (--connection.directions == 0) {
        const std::lock_guard lock(m_mutex);
        ::close(std::exchange(connection.caller, -1));
        ::close(std::exchange(connection.host, -1));
    }
}

} // namespace pimentoshed::processes
