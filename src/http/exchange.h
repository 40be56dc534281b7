/**
 * @file
 * One request on a connection and the answer to it.
 */
#pragma once

#include "core/error.h"
#include "http/headers.h"
#include "http/requestbody.h"

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentoshed::http
{

using Header = std::pair<std::string, std::string>;

/** An answer that this host makes itself. */
struct Reply {
    boost::beast::http::status status = boost::beast::http::status::ok;
    std::vector<Header> headers;
    std::string contentType = "application/json";
    std::string body;
};

/** What has become of a caller's connection while its request was under way. */
enum class CallerConnectionState : std::uint8_t {
    Open,
    /** The caller has closed its connection, or its sending half. */
    Closed,
    /** So much has arrived that no more is taken. */
    BufferFull,
};

/** Used by one handler within its coroutine. */
class Exchange
{
public:
    Exchange(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, RequestParser &parser, Yield yield);

    const RequestParser::value_type &request() const;
    std::string_view method() const;
    /** The path without the query. */
    std::string_view path() const;
    /** The value of @p name in the query, still percent-encoded, or an empty view. */
    std::string_view queryValue(std::string_view name) const;
    std::string_view header(std::string_view name) const;

    /** The request's body, for handlers that pass it on in pieces. */
    RequestBody &body();
    /** The request's head as a target gets it: without what concerns the caller's connection only. */
    const RequestHead &forwardHead();
    /** Sends 100 (Continue) where the caller waits for it before it sends its body. */
    void sendContinue();

    /** The whole body. Errors: RequestTooLarge, RequestMalformed. */
    core::Result<std::string> readBody(std::uint64_t limit);

    /** Takes what has arrived behind a request that was received whole, without waiting. */
    CallerConnectionState readAvailable();

    /** Writes @p reply whole. */
    void send(const Reply &reply);

    /** Has the connection closed after this exchange. */
    void closeAfterwards();
    bool closes() const;
    /** Resets the connection, so that nothing sent on it can pass for a whole answer. */
    void abort();

    boost::beast::tcp_stream &stream();
    boost::beast::flat_buffer &buffer();
    RequestParser &parser();
    Yield &yield();

private:
    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    RequestParser &m_parser;
    Yield m_yield;
    RequestBody m_body;
    std::optional<RequestHead> m_forwardHead;
    bool m_expectsContinue;
    bool m_closes = false;
};

} // namespace pimentoshed::http
