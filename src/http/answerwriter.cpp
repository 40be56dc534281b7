#include "http/answerwriter.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace pimentoshed::http
{

namespace message = boost::beast::http;

namespace
{

constexpr unsigned Version11 = 11;
constexpr std::size_t FlushBytes = 16384;

} // namespace

AnswerWriter::AnswerWriter(Exchange &exchange, StallBudget &budget, Watchdog &watchdog)
    : m_exchange(exchange)
    , m_budget(budget)
    , m_watchdog(watchdog)
{
}

void AnswerWriter::head(const AnswerHead &head, BodyFraming framing)
{
    const bool isOldVersion = m_exchange.request().version() < Version11;
    const bool isUnsized = framing == BodyFraming::LastChunk || framing == BodyFraming::Close;
    m_framing = !isUnsized ? framing : isOldVersion ? BodyFraming::Close : BodyFraming::LastChunk;
    m_head = head;
    removeHopByHopHeaders(m_head);
    m_head.version(Version11);
    m_head.erase(message::field::transfer_encoding);
    m_head.erase({RunHeader.data(), RunHeader.size()});
    if (m_framing == BodyFraming::LastChunk) {
        m_head.set(message::field::transfer_encoding, "chunked");
    }
    if (head.result() == message::status::no_content) {
        m_head.erase(message::field::content_length);
    }
}

void AnswerWriter::encodeHead()
{
    if (m_framing == BodyFraming::Close || !m_exchange.request().keep_alive()) {
        m_exchange.closeAfterwards();
    }
    if (m_exchange.decideClose()) {
        m_head.set(message::field::connection, "close");
    } else if (m_exchange.request().version() < Version11) {
        m_head.set(message::field::connection, "keep-alive");
    }
    m_buffered.insert(0, encode(m_head));
}

void AnswerWriter::append(std::string_view bytes)
{
    if (m_framing == BodyFraming::LastChunk && !bytes.empty()) {
        m_buffered += fmt::format("{:x}\r\n", bytes.size());
        m_buffered += bytes;
        m_buffered += "\r\n";
    } else {
        m_buffered += bytes;
    }
}

void AnswerWriter::finish()
{
    if (m_framing == BodyFraming::LastChunk) {
        m_buffered += "0\r\n\r\n";
    }
}

bool AnswerWriter::isFull() const
{
    return m_buffered.size() >= FlushBytes;
}

std::size_t AnswerWriter::size() const
{
    return m_buffered.size();
}

bool AnswerWriter::hasStarted() const
{
    return m_hasStarted;
}

BodyFraming AnswerWriter::framing() const
{
    return m_framing;
}

bool AnswerWriter::flush(const Yield &yield)
{
    if (!std::exchange(m_hasStarted, true)) {
        encodeHead();
    }
    if (m_buffered.empty()) {
        return true;
    }
    m_watchdog.arm(m_budget.remaining());
    const auto start = core::steadyNow();
    boost::system::error_code failure;
    const auto count = boost::asio::async_write(m_exchange.stream(), boost::asio::buffer(m_buffered), yield[failure]);
    m_watchdog.disarm();
    m_budget.record(count, core::steadyNow() - start);
    m_buffered.clear();
    return !failure;
}

} // namespace pimentoshed::http
