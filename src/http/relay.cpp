#include "http/relay.h"

#include "http/address.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <limits>
#include <optional>

namespace pimentoshed::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace message = boost::beast::http;
using requests::RunState;

namespace
{

constexpr std::size_t PieceBytes = 16384;

/** Cancels a socket's operations at a moment, within the strand of the coroutine that made it. */
class SocketDeadline
{
public:
    SocketDeadline(const Yield &yield, asio::ip::tcp::socket &socket, core::TimePoint moment)
        : m_timer(asio::get_associated_executor(yield))
        , m_passed(std::make_shared<bool>(false))
    {
        m_timer.expires_at(std::chrono::time_point_cast<asio::steady_timer::duration>(moment));
        m_timer.async_wait([passed = m_passed, &socket](const boost::system::error_code &failure) {
            if (!failure && !*passed) {
                *passed = true;
                boost::system::error_code ignored;
                socket.cancel(ignored);
            }
        });
    }

    ~SocketDeadline()
    {
        // A handler that is already queued must not touch the socket.
        *m_passed = true;
        m_timer.cancel();
    }

    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

    bool passed() const
    {
        return *m_passed;
    }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_passed;
};

void dropHopHeaders(message::fields &fields)
{
    fields.erase(message::field::connection);
    fields.erase(message::field::keep_alive);
    fields.erase(message::field::proxy_connection);
    fields.erase(message::field::te);
    fields.erase(message::field::upgrade);
    fields.erase(message::field::expect);
}

/** One attempt. Its steps run in the order of its public function. */
class Attempt
{
public:
    Attempt(Exchange &exchange, ConnectionPool &pool, const RelayTerms &terms)
        : m_exchange(exchange)
        , m_yield(exchange.yield())
        , m_pool(pool)
        , m_terms(terms)
        , m_connection(pool.take(terms.address))
        , m_deadline(m_yield, m_connection->socket, terms.deadline)
    {
    }

    RelayResult run()
    {
        if (connect() && sendRequest() && readAnswerHead() && passAnswer()) {
            m_result.outcome = {RunState::Ran, std::nullopt};
            keepConnection();
        }
        return m_result;
    }

private:
    bool fail(RunState run, core::ErrorCode code, std::string detail)
    {
        const auto actual = m_deadline.passed() ? core::ErrorCode::DeadlinePassed : code;
        m_result.outcome = {run, core::Error{actual, std::move(detail)}};
        return false;
    }

    bool connect()
    {
        if (m_connection->reused) {
            return true;
        }
        const auto endpoint = parseAddress(m_terms.address);
        if (!core::ok(endpoint)) {
            return fail(RunState::NotRun, core::ErrorCode::TargetFailed, core::describe(core::error(endpoint)));
        }
        boost::system::error_code failure;
        m_connection->socket.async_connect(core::value(endpoint), m_yield[failure]);
        if (failure) {
            return fail(RunState::NotRun, core::ErrorCode::TargetFailed, failure.message());
        }
        m_connection->socket.set_option(asio::ip::tcp::no_delay(true), failure);
        return true;
    }

    bool sendRequest()
    {
        auto &parser = m_exchange.parser();
        message::request<message::buffer_body> request(parser.get().base());
        dropHopHeaders(request);
        request.keep_alive(true);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_terms.deadline - core::steadyNow());
        request.set("Pimentoshed-Deadline-Ms", fmt::format("{}", left.count()));
        request.body().data = nullptr;
        request.body().more = !parser.is_done();
        message::request_serializer<message::buffer_body> serializer(request);
        beast::error_code failure;
        message::async_write_header(m_connection->socket, serializer, m_yield[failure]);
        if (failure) {
            return fail(RunState::Unknown, core::ErrorCode::TargetFailed, failure.message());
        }
        return sendBody(request, serializer);
    }

    bool sendBody(message::request<message::buffer_body> &request,
                  message::request_serializer<message::buffer_body> &serializer)
    {
        auto &parser = m_exchange.parser();
        std::uint64_t taken = 0;
        while (!parser.is_done()) {
            m_result.bodyTaken = true;
            std::array<char, PieceBytes> piece{};
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            beast::error_code failure;
            message::async_read(m_exchange.stream(), m_exchange.buffer(), parser, m_yield[failure]);
            if (failure && failure != message::error::need_buffer) {
                return fail(RunState::Unknown, core::ErrorCode::RequestMalformed, failure.message());
            }
            const auto size = piece.size() - parser.get().body().size;
            taken += size;
            if (taken > m_terms.maxRequestBytes) {
                return fail(RunState::Unknown, core::ErrorCode::RequestTooLarge, {});
            }
            request.body().data = piece.data();
            request.body().size = size;
            request.body().more = !parser.is_done();
            message::async_write(m_connection->socket, serializer, m_yield[failure]);
            if (failure && failure != message::error::need_buffer) {
                return fail(RunState::Unknown, core::ErrorCode::TargetFailed, failure.message());
            }
        }
        return true;
    }

    bool readAnswerHead()
    {
        m_answer.body_limit(std::numeric_limits<std::uint64_t>::max());
        if (m_exchange.request().method() == message::verb::head) {
            m_answer.skip(true);
        }
        beast::error_code failure;
        const auto sent = core::steadyNow();
        message::async_read_header(m_connection->socket, m_connection->buffer, m_answer, m_yield[failure]);
        m_result.waited = core::steadyNow() - sent;
        if (failure) {
            return fail(RunState::Unknown, core::ErrorCode::TargetFailed, failure.message());
        }
        if (m_terms.shedIsNotRun && m_answer.get().result() == message::status::service_unavailable) {
            return fail(RunState::NotRun, core::ErrorCode::TargetFailed, "target shed the request");
        }
        return true;
    }

    bool passAnswer()
    {
        message::response<message::buffer_body> response(m_answer.get().base());
        dropHopHeaders(response);
        if (!m_exchange.request().keep_alive()) {
            m_exchange.closeAfterwards();
        }
        response.keep_alive(!m_exchange.closes());
        response.body().data = nullptr;
        response.body().more = !m_answer.is_done();
        message::response_serializer<message::buffer_body> serializer(response);
        if (m_answer.is_done()) {
            serializer.split(true);
        }
        beast::error_code failure;
        m_result.answered = true;
        message::async_write_header(m_exchange.stream(), serializer, m_yield[failure]);
        if (failure) {
            return failCaller(failure);
        }
        return passBody(response, serializer);
    }

    bool passBody(message::response<message::buffer_body> &response,
                  message::response_serializer<message::buffer_body> &serializer)
    {
        while (!m_answer.is_done()) {
            std::array<char, PieceBytes> piece{};
            m_answer.get().body().data = piece.data();
            m_answer.get().body().size = piece.size();
            beast::error_code failure;
            message::async_read(m_connection->socket, m_connection->buffer, m_answer, m_yield[failure]);
            if (failure && failure != message::error::need_buffer) {
                m_exchange.closeAfterwards();
                return fail(RunState::Unknown, core::ErrorCode::AnswerTruncated, failure.message());
            }
            response.body().data = piece.data();
            response.body().size = piece.size() - m_answer.get().body().size;
            response.body().more = !m_answer.is_done();
            message::async_write(m_exchange.stream(), serializer, m_yield[failure]);
            if (failure && failure != message::error::need_buffer) {
                return failCaller(failure);
            }
        }
        return true;
    }

    bool failCaller(const beast::error_code &failure)
    {
        m_exchange.closeAfterwards();
        return fail(RunState::Ran, core::ErrorCode::CallerTooSlow, failure.message());
    }

    void keepConnection()
    {
        if (m_answer.get().keep_alive() && m_connection->buffer.size() == 0) {
            m_keep = true;
        }
    }

public:
    /** Gives the connection back to the pool where it can carry another request. */
    void finish()
    {
        if (m_keep) {
            m_pool.give(m_terms.address, std::move(m_connection), core::steadyNow());
        }
    }

private:
    Exchange &m_exchange;
    Yield &m_yield;
    ConnectionPool &m_pool;
    const RelayTerms &m_terms;
    std::unique_ptr<TargetConnection> m_connection;
    SocketDeadline m_deadline;
    message::response_parser<message::buffer_body> m_answer;
    RelayResult m_result;
    bool m_keep = false;
};

} // namespace

RelayResult relay(Exchange &exchange, ConnectionPool &pool, const RelayTerms &terms)
{
    Attempt attempt(exchange, pool, terms);
    auto result = attempt.run();
    attempt.finish();
    return result;
}

} // namespace pimentoshed::http
