#include "http/server.h"

#include "core/log.h"
#include "core/rankedmutex.h"
#include "http/address.h"
#include "http/serverconnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace pimentoshed::http
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
    Impl(asio::io_context &context, Handler handler, ServerLimits limits)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_state(std::make_shared<ServerState>(std::move(handler), limits))
    {
    }

    core::Status listen(const std::string &address)
    {
        const auto endpoint = parseAddress(address);
        if (!core::ok(endpoint)) {
            return core::error(endpoint);
        }
        boost::system::error_code failure;
        m_acceptor.open(core::value(endpoint).protocol(), failure);
        m_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        m_acceptor.bind(core::value(endpoint), failure);
        if (failure) {
            return core::Error{core::ErrorCode::ListenFailed, fmt::format("{}: {}", address, failure.message())};
        }
        m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
        if (failure) {
            return core::Error{core::ErrorCode::ListenFailed, fmt::format("{}: {}", address, failure.message())};
        }
        const auto bound = m_acceptor.local_endpoint();
        m_address = fmt::format("{}:{}", bound.address().to_string(), bound.port());
        return std::monostate{};
    }

    void accept()
    {
        m_acceptor.async_accept(
            asio::make_strand(m_context),
            [self = shared_from_this()](const boost::system::error_code &failure, tcp::socket socket) {
                self->onAccepted(failure, std::move(socket));
            });
    }

    void drain()
    {
        m_state->closing = true;
        m_state->draining = true;
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()]() {
            self->closeAcceptor();
        });
        // Done without m_mutex: this may release the last reference to a connection, whose destructor can lock the
        // mutex of ServerState, which has the same rank.
        for (const auto &connection : takeConnections()) {
            if (const auto alive = connection.lock()) {
                alive->closeIfIdle();
            }
        }
    }

    ServerState &state()
    {
        return *m_state;
    }

    const std::string &address() const
    {
        return m_address;
    }

private:
    /** Accepts the connections that callers have already established, then closes the acceptor. */
    void closeAcceptor()
    {
        boost::system::error_code failure;
        m_acceptor.non_blocking(true, failure);
        while (m_acceptor.is_open() && !failure) {
            tcp::socket socket(asio::make_strand(m_context));
            m_acceptor.accept(socket, failure);
            if (!failure) {
                std::make_shared<ServerConnection>(std::move(socket), m_state)->start();
            }
        }
        m_acceptor.close(failure);
        m_state->accepting = false;
        m_state->notifyIfDone();
    }

    void onAccepted(const boost::system::error_code &failure, tcp::socket socket)
    {
        if (failure == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!failure) {
            auto connection = std::make_shared<ServerConnection>(std::move(socket), m_state);
            track(connection);
            connection->start();
        } else {
            core::log(core::LogLevel::Warning, "accept-failed", {{"reason", failure.message()}});
        }
        accept();
    }

    std::vector<std::weak_ptr<ServerConnection>> takeConnections()
    {
        const core::Lock lock(m_mutex);
        return std::exchange(m_connections, {});
    }

    /** Remembers @p connection for drain(). Now and then, drops the entries of connections that have ended. */
    void track(const std::shared_ptr<ServerConnection> &connection)
    {
        const core::Lock lock(m_mutex);
        if (++m_acceptedSinceSweep > m_connections.size() / 2 + MinAcceptedBeforeSweep) {
            std::erase_if(m_connections, [](const std::weak_ptr<ServerConnection> &any) {
                return any.expired();
            });
            m_acceptedSinceSweep = 0;
        }
        m_connections.push_back(connection);
    }

    static constexpr std::size_t MinAcceptedBeforeSweep = 64;

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::shared_ptr<ServerState> m_state;
    std::string m_address;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    std::vector<std::weak_ptr<ServerConnection>> m_connections;
    std::size_t m_acceptedSinceSweep = 0;
};

Server::Builder::Builder(asio::io_context &context)
    : m_context(context)
{
}

Server::Builder &Server::Builder::address(std::string address)
{
    m_address = std::move(address);
    return *this;
}

Server::Builder &Server::Builder::handler(Handler handler)
{
    m_handler = std::move(handler);
    return *this;
}

Server::Builder &Server::Builder::limits(ServerLimits limits)
{
    m_limits = limits;
    return *this;
}

core::Result<std::shared_ptr<Server>> Server::Builder::start()
{
    auto impl = std::make_shared<Impl>(m_context, std::move(m_handler), m_limits);
    const auto listening = impl->listen(m_address);
    if (!core::ok(listening)) {
        return core::error(listening);
    }
    impl->accept();
    return std::shared_ptr<Server>(new Server(std::move(impl)));
}

Server::Server(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Server::~Server()
{
    drain();
}

std::string Server::address() const
{
    return m_impl->address();
}

void Server::closeAfterAnswers()
{
    m_impl->state().closing = true;
}

void Server::drain()
{
    m_impl->drain();
}

void Server::drain(std::function<void()> onDone)
{
    m_impl->state().setOnDone(std::move(onDone));
    m_impl->drain();
}

std::size_t Server::inProgress() const
{
    return m_impl->state().inProgress;
}

} // namespace pimentoshed::http
