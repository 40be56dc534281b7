#include "http/server.h"

#include "core/log.h"
#include "core/rankedmutex.h"
#include "http/address.h"
#include "http/json.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <limits>
#include <optional>
#include <vector>

namespace pimentoshed::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace
{

/** State that the server and its connections share. */
struct Shared {
    Shared(Handler requestHandler, ServerLimits serverLimits)
        : handler(std::move(requestHandler))
        , limits(serverLimits)
    {
    }

    const Handler handler;
    const ServerLimits limits;
    std::atomic<bool> closing{false};
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> inProgress{0};

    void connectionBegan()
    {
        ++connections;
    }

    void connectionEnded()
    {
        if (--connections == 0) {
            notifyIfDone();
        }
    }

    void setOnDone(std::function<void()> hook)
    {
        {
            const core::Lock lock(m_mutex);
            m_onDone = std::move(hook);
        }
        notifyIfDone();
    }

    /** Calls the hook, once, where no connection is left and none will be accepted. */
    void notifyIfDone()
    {
        if (!accepting && connections == 0) {
            std::function<void()> hook;
            {
                const core::Lock lock(m_mutex);
                hook.swap(m_onDone);
            }
            if (hook) {
                hook();
            }
        }
    }

    std::atomic<bool> accepting{true};
    std::atomic<std::size_t> connections{0};

private:
    core::RankedMutex m_mutex{core::LockRank::Connections};
    std::function<void()> m_onDone;
};

/** One accepted connection. Lives as long as its coroutine. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_stream(std::move(socket))
        , m_shared(std::move(shared))
    {
        m_shared->connectionBegan();
    }

    ~Connection()
    {
        m_shared->connectionEnded();
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void start()
    {
        asio::spawn(m_stream.get_executor(), [self = shared_from_this()](const Yield &yield) {
            self->serve(yield);
        });
    }

    /** Closes the connection unless a request is in progress on it or has begun to arrive. */
    void closeIfIdle()
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()]() {
            if (self->m_idle) {
                self->m_stream.cancel();
            }
        });
    }

private:
    void serve(const Yield &yield)
    {
        beast::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        while (serveOne(yield)) {
        }
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (m_unread) {
            discardRest(yield);
        }
        m_stream.close();
    }

    /** Closing with bytes unread would reset the connection and could take the answer with it. */
    void discardRest(const Yield &yield)
    {
        constexpr auto DiscardTime = std::chrono::seconds(2);
        constexpr std::size_t DiscardBytes = 4U << 20U;
        constexpr std::size_t PieceBytes = 16384;
        m_stream.expires_after(DiscardTime);
        std::string piece(PieceBytes, '\0');
        std::size_t discarded = 0;
        beast::error_code failure;
        while (!failure && discarded < DiscardBytes) {
            discarded += m_stream.async_read_some(asio::buffer(piece), yield[failure]);
        }
    }

    /** Whether another request may follow. */
    bool serveOne(const Yield &yield)
    {
        RequestParser parser;
        parser.header_limit(m_shared->limits.headerBytes);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        if (!awaitFirstByte(yield) || !readHeader(parser, yield)) {
            return false;
        }
        ++m_shared->inProgress;
        m_stream.expires_never();
        Exchange exchange(m_stream, m_buffer, parser, yield);
        if (m_shared->closing) {
            exchange.closeAfterwards();
        }
        m_shared->handler(exchange);
        --m_shared->inProgress;
        m_unread = !parser.is_done();
        return !exchange.closes() && !m_shared->draining;
    }

    bool awaitFirstByte(const Yield &yield)
    {
        constexpr std::size_t FirstReadBytes = 4096;
        if (m_buffer.size() > 0) {
            return true;
        }
        beast::error_code failure;
        if (!m_shared->draining) {
            m_stream.expires_after(m_shared->limits.idleTimeout);
            m_idle = true;
            const auto count = m_stream.async_read_some(m_buffer.prepare(FirstReadBytes), yield[failure]);
            m_idle = false;
            m_buffer.commit(count);
        }
        // At the end of a drain a request may have arrived that was not read yet: it is served.
        beast::error_code unknown;
        return m_buffer.size() > 0 || (m_shared->draining && m_stream.socket().available(unknown) > 0);
    }

    bool readHeader(RequestParser &parser, const Yield &yield)
    {
        m_stream.expires_after(m_shared->limits.headerTimeout);
        beast::error_code failure;
        beast::http::async_read_header(m_stream, m_buffer, parser, yield[failure]);
        if (!failure) {
            const auto fault = requestFault(parser.get());
            if (fault) {
                refuseMalformed(*fault, parser, yield);
            }
            return !fault;
        }
        if (failure != beast::error::timeout && failure != beast::http::error::end_of_stream) {
            refuseMalformed(failure.message(), parser, yield);
        }
        return false;
    }

    void refuseMalformed(std::string detail, RequestParser &parser, const Yield &yield)
    {
        Exchange exchange(m_stream, m_buffer, parser, yield);
        exchange.closeAfterwards();
        auto reply =
            errorReply(beast::http::status::bad_request, {core::ErrorCode::RequestMalformed, std::move(detail)});
        reply.headers.emplace_back(RunHeader, "not-run");
        exchange.send(reply);
        m_unread = true;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<Shared> m_shared;
    /** Whether it waits for the first byte of a request. */
    bool m_idle = false;
    /** Whether the caller may still be sending a message that nobody reads. */
    bool m_unread = false;
};

} // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
    Impl(asio::io_context &context, Handler handler, ServerLimits limits)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_shared(std::make_shared<Shared>(std::move(handler), limits))
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
                self->accepted(failure, std::move(socket));
            });
    }

    void drain()
    {
        m_shared->closing = true;
        m_shared->draining = true;
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()]() {
            self->closeAcceptor();
        });
        const core::Lock lock(m_mutex);
        for (const auto &connection : m_connections) {
            if (const auto alive = connection.lock()) {
                alive->closeIfIdle();
            }
        }
        m_connections.clear();
    }

    Shared &shared()
    {
        return *m_shared;
    }

    const std::string &address() const
    {
        return m_address;
    }

private:
    /** Takes what callers have already connected, then closes. */
    void closeAcceptor()
    {
        boost::system::error_code failure;
        m_acceptor.non_blocking(true, failure);
        while (m_acceptor.is_open() && !failure) {
            tcp::socket socket(asio::make_strand(m_context));
            m_acceptor.accept(socket, failure);
            if (!failure) {
                std::make_shared<Connection>(std::move(socket), m_shared)->start();
            }
        }
        m_acceptor.close(failure);
        m_shared->accepting = false;
        m_shared->notifyIfDone();
    }

    void accepted(const boost::system::error_code &failure, tcp::socket socket)
    {
        if (failure == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!failure) {
            auto connection = std::make_shared<Connection>(std::move(socket), m_shared);
            keep(connection);
            connection->start();
        } else {
            core::log(core::LogLevel::Warning, "accept-failed", {{"reason", failure.message()}});
        }
        accept();
    }

    void keep(const std::shared_ptr<Connection> &connection)
    {
        const core::Lock lock(m_mutex);
        if (++m_acceptedSinceSweep > m_connections.size() / 2 + SweepMinimum) {
            std::erase_if(m_connections, [](const std::weak_ptr<Connection> &any) {
                return any.expired();
            });
            m_acceptedSinceSweep = 0;
        }
        m_connections.push_back(connection);
    }

    static constexpr std::size_t SweepMinimum = 64;

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::shared_ptr<Shared> m_shared;
    std::string m_address;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    std::vector<std::weak_ptr<Connection>> m_connections;
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
    m_impl->shared().closing = true;
}

void Server::drain()
{
    m_impl->drain();
}

void Server::drain(std::function<void()> onDone)
{
    m_impl->shared().setOnDone(std::move(onDone));
    m_impl->drain();
}

std::size_t Server::inProgress() const
{
    return m_impl->shared().inProgress;
}

} // namespace pimentoshed::http
