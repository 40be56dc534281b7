/**
 * @file
 * One request on a connection and the response to it.
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
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentoshed::http
{

using Header = std::pair<std::string, std::string>;

/** A response that this host generates itself. */
struct Reply {
    boost::beast::http::status status = boost::beast::http::status::ok;
    std::vector<Header> headers;
    std::string contentType = "application/json";
    std::string body;
};

/** State of a caller's connection while its request is in progress. */
enum class CallerConnectionState : std::uint8_t {
    Open,
    /** The caller has closed its connection, or its sending half. */
    Closed,
    /** The limit of buffered bytes is reached, so that no more is read. */
    BufferFull,
};

/** A request that a handler serves, and the means to respond to it. Used by one handler within its coroutine. */
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

    /** The request's body, for handlers that read it in pieces. */
    RequestBody &body();
    /** The request's head as it is forwarded to a target: without hop-by-hop headers. */
    const RequestHead &forwardHead();
    /** Sends 100 (Continue) once if the caller waits for it before it sends the body. */
    void sendContinue();

    /** Reads the whole body, which may have up to @p limit bytes. Errors: RequestTooLarge, RequestMalformed. */
    core::Result<std::string> readBody(std::uint64_t limit);

    /**
     * Reads, without waiting, the bytes that have arrived behind a completely received request. They stay buffered for
     * the next request on the connection.
     */
    CallerConnectionState readAvailable();

    /**
     * Whether the caller has closed its connection, or its sending half. Behind bytes that were not read this shows
     * only once all of them have arrived, so not for a long body that the connection's window keeps at the caller.
     */
    bool hasCallerLeft();

    /** Writes the whole @p reply. */
    void send(const Reply &reply);

    /** Makes the connection close after this exchange. */
    void closeAfterwards();
    /** Makes the connection close after this exchange if @p isClosing returns true when the response's head is made. */
    void closeAfterwardsIf(std::function<bool()> isClosing);
    /** Decides for the head of the response whether the connection is to be closed after it, and returns that. */
    bool decideClose();
    /** Whether the connection is to be closed after this exchange. */
    bool willClose() const;
    /**
     * Whether the system resets the connection instead of closing it if this process ends or closes it early. For a
     * response that ends with its connection, which would look complete otherwise.
     */
    void resetIfCut(bool isEnabled);
    /** Resets the connection, so that the caller can't take a truncated response for a complete one. */
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
    std::function<bool()> m_isClosing;
    bool m_willClose = false;
};

} // namespace pimentoshed::http
