/**
 * @file
 * Reads the body of a caller's request in pieces. A small body is kept, so that it can be sent again to another target.
 */
#pragma once

#include "core/error.h"

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoshed::http
{

using Yield = boost::asio::yield_context;
using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/** Used by one coroutine at a time. */
class RequestBody
{
public:
    RequestBody(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, RequestParser &parser);

    /** Whether the request has a body. */
    bool present() const;
    /** The declared length, if any. */
    std::optional<std::uint64_t> length() const;
    /** Whether the whole body was read from the caller. */
    bool received() const;
    /** Whether next() has returned the whole body since the start or the last rewind(). */
    bool finished() const;

    /** Returns the next piece, valid until the next call; empty only at the end. Error: RequestMalformed. */
    core::Result<std::string_view> next(const Yield &yield);

    /**
     * Reads the body, whatever its framing, until it is complete or as much has been read as is kept. A small body can
     * then be sent without waiting for the caller. Error: RequestMalformed.
     */
    core::Status prefetch(const Yield &yield);

    /** Returns the whole body, if it was received and kept. */
    std::optional<std::string_view> keptBody() const;

    /** Whether rewind() may be called: all that was read so far was kept. */
    bool canRewind() const;
    /** Makes next() start again at the first byte. Only allowed if canRewind(). */
    void rewind();

private:
    /** Reads the next piece of at most @p limit bytes from the caller. */
    core::Result<std::string_view> read(const Yield &yield, std::size_t limit);
    std::string_view nextKept();
    void keep(std::string_view piece);

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    RequestParser &m_parser;
    const bool m_present;
    const std::optional<std::uint64_t> m_length;
    std::string m_piece;
    std::string m_kept;
    std::size_t m_position = 0;
    bool m_canRewind = true;
};

} // namespace pimentoshed::http
