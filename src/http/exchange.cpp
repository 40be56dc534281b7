#include "http/exchange.h"

#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace pimentoshed::http
{

namespace beast = boost::beast;

namespace
{

constexpr std::size_t BodyChunkBytes = 16384;

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
    const auto question = rest.find('?');
    rest = question == std::string_view::npos ? std::string_view{} : rest.substr(question + 1);
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

core::Result<std::string> Exchange::readBody(std::uint64_t limit)
{
    std::string body;
    std::array<char, BodyChunkBytes> chunk{};
    while (!m_parser.is_done()) {
        m_parser.get().body().data = chunk.data();
        m_parser.get().body().size = chunk.size();
        beast::error_code failure;
        beast::http::async_read(m_stream, m_buffer, m_parser, m_yield[failure]);
        if (failure && failure != beast::http::error::need_buffer) {
            m_closes = true;
            return core::Error{core::ErrorCode::RequestMalformed, failure.message()};
        }
        body.append(chunk.data(), chunk.size() - m_parser.get().body().size);
        if (body.size() > limit) {
            m_closes = true;
            return core::Error{core::ErrorCode::RequestTooLarge, {}};
        }
    }
    return body;
}

void Exchange::send(const Reply &reply)
{
    beast::http::response<beast::http::string_body> message(reply.status, request().version());
    message.set(beast::http::field::content_type, reply.contentType);
    for (const auto &[name, value] : reply.headers) {
        message.set(name, value);
    }
    message.body() = reply.body;
    m_closes = m_closes || !m_parser.is_done() || !request().keep_alive();
    message.keep_alive(!m_closes);
    message.prepare_payload();
    beast::error_code failure;
    beast::http::async_write(m_stream, message, m_yield[failure]);
    m_closes = m_closes || failure;
}

void Exchange::closeAfterwards()
{
    m_closes = true;
}

bool Exchange::closes() const
{
    return m_closes;
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
