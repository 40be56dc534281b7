#include "http/fakes.h"

#include "http/address.h"
#include "http/jsonreply.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <condition_variable>
#include <fmt/format.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pimentoshed::http::fakes
{

namespace
{

constexpr int TimeoutSeconds = 8;

void setTimeouts(int descriptor)
{
    const timeval limit{TimeoutSeconds, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

} // namespace

RawSocket::RawSocket(int descriptor)
    : m_descriptor(descriptor)
{
    setTimeouts(m_descriptor);
}

RawSocket::~RawSocket()
{
    close();
}

RawSocket::RawSocket(RawSocket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_received(std::move(other.m_received))
{
}

RawSocket RawSocket::connect(const std::string &address)
{
    const auto endpoint = core::value(parseAddress(address));
    RawSocket made(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(::connect(made.m_descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0);
    return made;
}

bool RawSocket::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string RawSocket::readUntil(const std::string &end)
{
    auto at = m_received.find(end);
    while (at == std::string::npos && fill()) {
        at = m_received.find(end);
    }
    return read(at == std::string::npos ? m_received.size() : at + end.size());
}

std::string RawSocket::read(std::size_t count)
{
    while (m_received.size() < count && fill()) {
    }
    auto taken = m_received.substr(0, count);
    m_received.erase(0, taken.size());
    return taken;
}

std::string RawSocket::readAll()
{
    while (fill()) {
    }
    return std::exchange(m_received, {});
}

bool RawSocket::wasReset() const
{
    return m_wasReset;
}

void RawSocket::closeSending()
{
    shutdown(m_descriptor, SHUT_WR);
}

void RawSocket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void RawSocket::reset()
{
    const linger immediate{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    close();
}

bool RawSocket::fill()
{
    std::string piece(65536, '\0');
    const auto count = recv(m_descriptor, piece.data(), piece.size(), 0);
    if (count <= 0) {
        m_wasReset = count < 0 && errno == ECONNRESET;
        return false;
    }
    m_received.append(piece, 0, static_cast<std::size_t>(count));
    return true;
}

ScriptedTarget::ScriptedTarget(Script script)
    : m_script(std::move(script))
    , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(listen(m_listener, 16) == 0);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_address = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
    m_thread = std::thread([this]() {
        run();
    });
}

ScriptedTarget::~ScriptedTarget()
{
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
}

std::string ScriptedTarget::address() const
{
    return m_address;
}

unsigned ScriptedTarget::accepted() const
{
    return m_accepted;
}

void ScriptedTarget::run()
{
    while (true) {
        const int descriptor = accept(m_listener, nullptr, nullptr);
        if (descriptor < 0) {
            return;
        }
        RawSocket connection(descriptor);
        m_script(connection, m_accepted++);
    }
}

RelayServer::RelayServer(std::string target, RelayOptions options)
    : m_options(std::move(options))
    , m_pool(2)
    , m_connections(m_pool.context())
{
    m_options.address = std::move(target);
    auto server = Server::Builder(m_pool.context())
                      .address("127.0.0.1:0")
                      .handler([this](Exchange &exchange) {
                          relayOne(exchange);
                      })
                      .start();
    REQUIRE(core::ok(server));
    m_server = core::value(server);
}

RelayServer::~RelayServer()
{
    std::promise<void> done;
    m_server->drain([&done]() {
        done.set_value();
    });
    done.get_future().wait_for(std::chrono::seconds(TimeoutSeconds));
    m_pool.stop();
}

RawSocket RelayServer::caller() const
{
    return RawSocket::connect(m_server->address());
}

RelayResult RelayServer::nextResult()
{
    std::unique_lock lock(m_mutex);
    const bool hasResult = m_changed.wait_for(lock, std::chrono::seconds(TimeoutSeconds), [this]() {
        return m_results.size() > m_taken;
    });
    REQUIRE(hasResult);
    return m_results[m_taken++];
}

std::size_t RelayServer::idleConnections() const
{
    return m_connections.idleCount();
}

void RelayServer::relayOne(Exchange &exchange)
{
    auto options = m_options;
    options.deadline = core::steadyNow() + m_options.deadline.time_since_epoch();
    const auto result = relay(exchange, m_connections, options);
    {
        const std::lock_guard lock(m_mutex);
        m_results.push_back(result);
    }
    m_changed.notify_all();
    if (result.outcome.failure && !result.sentToCaller && !result.callerLeft) {
        exchange.send(errorReply(boost::beast::http::status::bad_gateway, *result.outcome.failure));
    }
}

RelayOptions relayOptions(bool idempotent, unsigned millis)
{
    RelayOptions options;
    options.deadline = core::TimePoint(std::chrono::milliseconds(millis));
    options.maxRequestBytes = 1U << 20U;
    options.idempotent = idempotent;
    return options;
}

} // namespace pimentoshed::http::fakes
