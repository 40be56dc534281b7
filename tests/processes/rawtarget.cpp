#include "processes/rawtarget.h"

#include "http/address.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pimentoshed::processes
{

namespace
{

constexpr std::string_view BlankLine = "\r\n\r\n";

} // namespace

std::string headerOf(const std::string &head, const std::string &name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

void resetConnection(int descriptor)
{
    const sockaddr none{AF_UNSPEC, {}};
    REQUIRE(connect(descriptor, &none, sizeof(none)) == 0);
}

RawTarget::RawTarget(const std::string &address, Responder respond)
    : m_respond(std::move(respond))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int Backlog = 128;
    const auto endpoint = core::value(http::parseAddress(address));
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    REQUIRE(bind(m_listener, endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0);
    REQUIRE(listen(m_listener, Backlog) == 0);
    m_acceptor = std::thread([this]() {
        run();
    });
}

RawTarget::~RawTarget()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto &connection : m_connections) {
        shutdown(connection.descriptor, SHUT_RDWR);
        connection.thread.join();
        ::close(connection.descriptor);
    }
    ::close(m_listener);
}

void RawTarget::run()
{
    while (!m_isStopping) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        auto &connection = m_connections.emplace_back(Connection{descriptor, {}});
        connection.thread = std::thread([this, descriptor]() {
            serve(descriptor);
        });
    }
}

void RawTarget::serve(int descriptor) const
{
    constexpr std::size_t PieceBytes = 4096;
    std::string received;
    bool isOpen = true;
    while (isOpen) {
        std::string piece(PieceBytes, '\0');
        const auto count = recv(descriptor, piece.data(), piece.size(), 0);
        if (count <= 0) {
            break;
        }
        received.append(piece, 0, static_cast<std::size_t>(count));
        if (const auto end = received.find(BlankLine); end != std::string::npos) {
            isOpen = m_respond(descriptor, received.substr(0, end + 2));
            received.clear();
        }
    }
    shutdown(descriptor, SHUT_RDWR);
}

} // namespace pimentoshed::processes
