#include "http/requestbody.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace pimentoshed::http
{

namespace beast = boost::beast;

namespace
{

constexpr std::size_t PieceBytes = 16384;
constexpr std::size_t MaxKeptBytes = 65536;

std::optional<std::uint64_t> declaredLength(const RequestParser &parser)
{
    if (!parser.is_header_done()) {
        return std::nullopt;
    }
    const auto length = parser.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

} // namespace

RequestBody::RequestBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, RequestParser &parser)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_parser(parser)
    , m_present(!parser.is_done())
    , m_length(declaredLength(parser))
{
}

bool RequestBody::present() const
{
    return m_present;
}

std::optional<std::uint64_t> RequestBody::length() const
{
    return m_length;
}

bool RequestBody::received() const
{
    return m_parser.is_done();
}

bool RequestBody::finished() const
{
    return m_position == m_kept.size() && received();
}

core::Result<std::string_view> RequestBody::next(const Yield &yield)
{
    if (m_position < m_kept.size()) {
        return nextKept();
    }
    return read(yield, PieceBytes);
}

core::Result<std::string_view> RequestBody::read(const Yield &yield, std::size_t limit)
{
    m_piece.resize(limit);
    while (!m_parser.is_done()) {
        auto &body = m_parser.get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        beast::error_code failure;
        beast::http::async_read_some(m_stream, m_buffer, m_parser, yield[failure]);
        if (failure && failure != beast::http::error::need_buffer) {
            // Only a cancelled read can be repeated.
            m_canRewind = m_canRewind && failure == boost::asio::error::operation_aborted;
            return core::Error{core::ErrorCode::RequestMalformed, failure.message()};
        }
        const std::string_view piece(m_piece.data(), m_piece.size() - body.size);
        if (!piece.empty()) {
            keep(piece);
            return piece;
        }
    }
    return std::string_view();
}

core::Status RequestBody::prefetch(const Yield &yield)
{
    while (!received() && m_kept.size() < MaxKeptBytes) {
        const auto piece = read(yield, std::min(PieceBytes, MaxKeptBytes - m_kept.size()));
        if (!core::ok(piece)) {
            return core::error(piece);
        }
    }
    rewind();
    return std::monostate{};
}

std::optional<std::string_view> RequestBody::keptBody() const
{
    return m_canRewind && received() ? std::optional<std::string_view>(m_kept) : std::nullopt;
}

bool RequestBody::canRewind() const
{
    return m_canRewind;
}

void RequestBody::rewind()
{
    m_position = 0;
}

std::string_view RequestBody::nextKept()
{
    const auto piece = std::string_view(m_kept).substr(m_position, PieceBytes);
    m_position += piece.size();
    return piece;
}

void RequestBody::keep(std::string_view piece)
{
    if (m_canRewind && m_kept.size() + piece.size() <= MaxKeptBytes) {
        m_kept.append(piece);
        m_position = m_kept.size();
        return;
    }
    m_canRewind = false;
    m_position = 0;
    std::string().swap(m_kept);
}

} // namespace pimentoshed::http
