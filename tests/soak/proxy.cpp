#include "soak/proxy.h"

#include "http/address.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace pimentoshed::soak
{

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;
using Yield = asio::yield_context;

namespace
{

constexpr auto Delay = std::chrono::milliseconds(80);
/** How often a held connection checks whether its link is open again. */
constexpr auto HoldCheckPeriod = std::chrono::milliseconds(20);
constexpr std::size_t PieceBytes = 16384;

/** The two sockets of one proxied connection. */
struct Connection {
    explicit Connection(asio::io_context &context)
        : near(context)
        , far(context)
    {
    }

    /** Closes both sockets so that the peers get resets. */
    void reset()
    {
        for (auto *socket : {&near, &far}) {
            boost::system::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    Socket near;
    Socket far;
};

void sleepFor(asio::io_context &context, std::chrono::milliseconds duration, const Yield &yield)
{
    asio::steady_timer timer(context, duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace

class Proxy::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(asio::io_context &context, const std::string &listen, const std::string &forward)
        : m_context(context)
        , m_acceptor(context, core::value(http::parseAddress(listen)))
        , m_forward(core::value(http::parseAddress(forward)))
    {
    }

    void start()
    {
        asio::spawn(m_context, [self = shared_from_this()](const Yield &yield) {
            self->accept(yield);
        });
    }

    void setState(LinkState state)
    {
        m_state = state;
        if (state == LinkState::Reset) {
            asio::post(m_context, [self = shared_from_this()]() {
                self->resetAll();
            });
        }
    }

private:
    void accept(const Yield &yield)
    {
        while (true) {
            const auto connection = std::make_shared<Connection>(m_context);
            boost::system::error_code failure;
            m_acceptor.async_accept(connection->near, yield[failure]);
            if (failure) {
                return;
            }
            asio::spawn(m_context, [self = shared_from_this(), connection](const Yield &inner) {
                self->serve(connection, inner);
            });
        }
    }

    void serve(const std::shared_ptr<Connection> &connection, const Yield &yield)
    {
        waitWhileHeld(LinkState::HeldForward, yield);
        boost::system::error_code failure;
        connection->far.async_connect(m_forward, yield[failure]);
        if (failure || m_state == LinkState::Reset) {
            connection->reset();
            return;
        }
        for (auto *socket : {&connection->near, &connection->far}) {
            socket->set_option(asio::ip::tcp::no_delay(true), failure);
        }
        std::erase_if(m_connections, [](const auto &known) {
            return known.expired();
        });
        m_connections.push_back(connection);
        asio::spawn(m_context, [self = shared_from_this(), connection](const Yield &inner) {
            self->pump(connection, connection->far, connection->near, LinkState::HeldBackward, inner);
        });
        pump(connection, connection->near, connection->far, LinkState::HeldForward, yield);
    }

    /** Passes bytes on until either side closes; then ends that direction at the other side. */
    void pump(const std::shared_ptr<Connection> &connection,
              Socket &from,
              Socket &to,
              LinkState heldState,
              const Yield &yield)
    {
        std::array<char, PieceBytes> piece{};
        boost::system::error_code failure;
        while (!failure) {
            const auto bytes = from.async_read_some(asio::buffer(piece), yield[failure]);
            waitWhileHeld(heldState, yield);
            if (failure) {
                break;
            }
            if (m_state == LinkState::Delayed) {
                sleepFor(m_context, Delay, yield);
            }
            asio::async_write(to, asio::buffer(piece.data(), bytes), yield[failure]);
        }
        boost::system::error_code ignored;
        if (failure == asio::error::eof) {
            to.shutdown(Socket::shutdown_send, ignored);
        } else {
            connection->reset();
        }
    }

    void waitWhileHeld(LinkState heldState, const Yield &yield)
    {
        while (m_state == heldState || m_state == LinkState::Held) {
            sleepFor(m_context, HoldCheckPeriod, yield);
        }
    }

    void resetAll()
    {
        for (const auto &known : m_connections) {
            if (const auto connection = known.lock()) {
                connection->reset();
            }
        }
    }

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const asio::ip::tcp::endpoint m_forward;
    std::atomic<LinkState> m_state{LinkState::Open};
    /** Used only by the proxy's thread. */
    std::vector<std::weak_ptr<Connection>> m_connections;
};

Proxy::Proxy()
    : m_work(asio::make_work_guard(m_context))
    , m_thread([this]() {
        m_context.run();
    })
{
}

Proxy::~Proxy()
{
    m_context.stop();
    m_thread.join();
}

void Proxy::addLink(const std::string &name, const std::string &listen, const std::string &forward)
{
    const auto link = std::make_shared<Link>(m_context, listen, forward);
    m_links.emplace(name, link);
    link->start();
}

void Proxy::setState(const std::string &name, LinkState state)
{
    m_links.at(name)->setState(state);
}

} // namespace pimentoshed::soak
