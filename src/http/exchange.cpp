#include "http/exchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <chrono>
#include <poll.h>

namespace pimentoshed::http
{

namespace beast = boost::beast;

namespace
{

constexpr unsigned HttpVersion = 11;
constexpr auto SendTimeout = std::chrono::seconds(10);

std::string_view toView(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Exchange::Exchange(beast::tcp_stream &stream, beast::flat_buffer &buffer, RequestParser &parser, Yield yield)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_parser(parser)
    , m_yield(std::move(yield))
    , m_body(stream, buffer, parser)
    , m_expectsContinue(beast::iequals(parser.get()[beast::http::field::expect], "100-continue"))
{
}

const RequestParser::value_type &Exchange::request() const
{
    return m_parser.get();
}

std::string_view Exchange::method() const
{
    return toView(request().method_string());
}

std::string_view Exchange::path() const
{
    const auto target = toView(request().target());
    return target.substr(0, target.find('?'));
}

std::string_view Exchange::queryValue(std::string_view name) const
{
    auto rest = toView(request().target());
    const auto queryMark = rest.find('?');
    rest = queryMark == std::string_view::npos ? std::string_view{} : rest.substr(queryMark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('=')) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

std::string_view Exchange::header(std::string_view name) const
{
    return toView(request()[beast::string_view(name.data(), name.size())]);
}

RequestBody &Exchange::body()
{
    return m_body;
}

const RequestHead &Exchange::forwardHead()
{
    if (!m_forwardHead) {
        // Copied before the body is read, as the parser adds the body's trailers to its fields.
        m_forwardHead.emplace(request().base());
        removeHopByHopHeaders(*m_forwardHead);
    }
    return *m_forwardHead;
}

void Exchange::sendContinue()
{
    if (!std::exchange(m_expectsContinue, false) || m_body.received() || m_buffer.size() > 0) {
        return;
    }
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    beast::error_code failure;
    boost::asio::async_write(m_stream, boost::asio::buffer(Continue), m_yield[failure]);
    m_willClose = m_willClose || failure;
}

core::Result<std::string> Exchange::readBody(std::uint64_t limit)
{
    sendContinue();
    std::string body;
    while (!m_body.finished()) {
        const auto piece = m_body.next(m_yield);
        if (!core::ok(piece)) {
            m_willClose = true;
            return core::error(piece);
        }
        body.append(core::value(piece));
        if (body.size() > limit) {
            m_willClose = true;
            return core::Error{core::ErrorCode::RequestTooLarge, {}};
        }
    }
    return body;
}

CallerConnectionState Exchange::readAvailable()
{
    constexpr std::size_t MaxBufferedBytes = 65536;
    constexpr std::size_t PieceBytes = 4096;
    beast::error_code failure;
    m_stream.socket().non_blocking(true, failure);
    while (!failure) {
        if (m_buffer.size() >= MaxBufferedBytes) {
            return CallerConnectionState::BufferFull;
        }
        m_buffer.commit(m_stream.socket().receive(m_buffer.prepare(PieceBytes), 0, failure));
    }
    return failure == boost::asio::error::would_block ? CallerConnectionState::Open : CallerConnectionState::Closed;
}

bool Exchange::hasCallerLeft()
{
    const auto state = m_body.received() ? readAvailable() : CallerConnectionState::BufferFull;
    if (state != CallerConnectionState::BufferFull) {
        return state == CallerConnectionState::Closed;
    }
    // A read would return the unread bytes first.
    pollfd connection{m_stream.socket().native_handle(), POLLRDHUP, 0};
    constexpr auto Ended = POLLRDHUP | POLLHUP | POLLERR;
    return poll(&connection, 1, 0) > 0 && (connection.revents & Ended) != 0;
}

void Exchange::send(const Reply &reply)
{
    AnswerHead head;
    head.version(HttpVersion);
    head.result(reply.status);
    head.set(beast::http::field::content_type, reply.contentType);
    for (const auto &[name, value] : reply.headers) {
        head.set(name, value);
    }
    head.set(beast::http::field::content_length, std::to_string(reply.body.size()));
    m_willClose = m_willClose || !m_parser.is_done() || !request().keep_alive();
    if (decideClose()) {
        head.set(beast::http::field::connection, "close");
    } else if (request().version() < HttpVersion) {
        head.set(beast::http::field::connection, "keep-alive");
    }
    auto bytes = encode(head);
    if (request().method() != beast::http::verb::head) {
        bytes += reply.body;
    }
    m_stream.expires_after(SendTimeout);
    beast::error_code failure;
    boost::asio::async_write(m_stream, boost::asio::buffer(bytes), m_yield[failure]);
    m_stream.expires_never();
    m_willClose = m_willClose || failure;
}

void Exchange::closeAfterwards()
{
    m_willClose = true;
}

void Exchange::closeAfterwardsIf(std::function<bool()> isClosing)
{
    m_isClosing = std::move(isClosing);
}

bool Exchange::decideClose()
{
    m_willClose = m_willClose || (m_isClosing && m_isClosing());
    return m_willClose;
}

bool Exchange::willClose() const
{
    return m_willClose;
}

void Exchange::resetIfCut(bool isEnabled)
{
    beast::error_code ignored;
    m_stream.socket().set_option(boost::asio::socket_base::linger(isEnabled, 0), ignored);
}

void Exchange::abort()
{
    m_willClose = true;
    resetIfCut(true);
    m_stream.close();
}

beast::tcp_stream &Exchange::stream()
{
    return m_stream;
}

beast::flat_buffer &Exchange::buffer()
{
    return m_buffer;
}

RequestParser &Exchange::parser()
{
    return m_parser;
}

Yield &Exchange::yield()
{
    return m_yield;
}

} // namespace pimentoshed::http
