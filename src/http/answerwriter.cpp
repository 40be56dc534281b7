#include "http/answerwriter.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace pimentoshed::http
{

namespace message = boost::beast::http;

namespace
{

constexpr unsigned Version11 = 11;
constexpr std::size_t FlushBytes = 16384;

} // namespace

AnswerWriter::AnswerWriter(Exchange &exchange, StallBudget &pace, Watchdog &stall)
    : m_exchange(exchange)
    , m_pace(pace)
    , m_stall(stall)
{
}

void AnswerWriter::head(const AnswerHead &head, BodyFraming end)
{
    const bool old = m_exchange.request().version() < Version11;
    m_end = old && end == BodyFraming::LastChunk ? BodyFraming::Close : end;
    AnswerHead made(head);
    dropHopByHop(made);
    made.version(Version11);
    made.erase(message::field::transfer_encoding);
    made.erase({RunHeader.data(), RunHeader.size()});
    if (m_end == BodyFraming::LastChunk) {
        made.set(message::field::transfer_encoding, "chunked");
    }
    if (head.result() == message::status::no_content) {
        made.erase(message::field::content_length);
    }
    if (m_end == BodyFraming::Close || !m_exchange.request().keep_alive()) {
        m_exchange.closeAfterwards();
    }
    if (m_exchange.closes()) {
        made.set(message::field::connection, "close");
    } else if (old) {
        made.set(message::field::connection, "keep-alive");
    }
    m_held = encode(made);
}

void AnswerWriter::piece(std::string_view bytes)
{
    if (m_end == BodyFraming::LastChunk && !bytes.empty()) {
        m_held += fmt::format("{:x}\r\n", bytes.size());
        m_held += bytes;
        m_held += "\r\n";
    } else {
        m_held += bytes;
    }
}

void AnswerWriter::last()
{
    if (m_end == BodyFraming::LastChunk) {
        m_held += "0\r\n\r\n";
    }
}

bool AnswerWriter::full() const
{
    return m_held.size() >= FlushBytes;
}

std::size_t AnswerWriter::size() const
{
    return m_held.size();
}

bool AnswerWriter::empty() const
{
    return m_held.empty();
}

bool AnswerWriter::started() const
{
    return m_started;
}

BodyFraming AnswerWriter::end() const
{
    return m_end;
}

bool AnswerWriter::flush(const Yield &yield)
{
    if (m_held.empty()) {
        return true;
    }
    m_started = true;
    m_stall.arm(m_pace.left());
    const auto began = core::steadyNow();
    boost::system::error_code failure;
    const auto count = boost::asio::async_write(m_exchange.stream(), boost::asio::buffer(m_held), yield[failure]);
    m_stall.disarm();
    m_pace.moved(count, core::steadyNow() - began);
    m_held.clear();
    return !failure;
}

} // namespace pimentoshed::http
