#include "http/relayattempt.h"

#include "http/address.h"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace pimentoshed::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace message = boost::beast::http;
using core::ErrorCode;
using requests::AttemptStage;

namespace
{

constexpr std::uint32_t AnswerHeadBytes = 65536;
constexpr std::size_t PieceBytes = 16384;
constexpr unsigned Version11 = 11;

asio::steady_timer::duration remaining(core::TimePoint moment)
{
    return std::chrono::duration_cast<asio::steady_timer::duration>(moment - core::steadyNow());
}

/** Made once: an attempt only calls it. */
const ProtocolHooks &productMarking()
{
    static const auto marking = defaultProtocolHooks();
    return marking;
}

bool closedByPeer(const beast::error_code &failure)
{
    return failure == message::error::end_of_stream || failure == asio::error::eof
           || failure == asio::error::connection_reset || failure == asio::error::broken_pipe;
}

} // namespace

RelayAttempt::RelayAttempt(Exchange &exchange, const RelayOptions &terms, std::unique_ptr<TargetConnection> connection)
    : m_exchange(exchange)
    , m_terms(terms)
    , m_marking(terms.protocolHooks == nullptr ? productMarking() : *terms.protocolHooks)
    , m_connection(std::move(connection))
    , m_caller(exchange.stream())
    , m_yield(exchange.yield())
    , m_deadline(m_caller.get_executor(),
                 [this]() {
                     abort(ErrorCode::DeadlinePassed, {});
                 })
    , m_readStall(m_caller.get_executor(),
                  [this]() {
                      abort(ErrorCode::CallerTooSlow, "sending its request");
                  })
    , m_writeStall(m_caller.get_executor(),
                   [this]() {
                       m_callerGone = true;
                       abort(ErrorCode::CallerTooSlow, "reading its answer");
                   })
    , m_uploadEnd(m_caller.get_executor())
    , m_readPace(terms.minimumRate)
    , m_writePace(terms.minimumRate)
{
}

RelayResult RelayAttempt::run()
{
    if (remaining(m_terms.deadline) <= core::Duration{}) {
        abort(ErrorCode::DeadlinePassed, {});
        return settle();
    }
    m_deadline.arm(remaining(m_terms.deadline));
    if (connect() && sendHead()) {
        startUpload();
        if (readAnswerHead()) {
            passAnswer();
        }
        endUpload();
    }
    m_deadline.disarm();
    return settle();
}

bool RelayAttempt::wasStale() const
{
    return m_stale;
}

void RelayAttempt::giveBack(ConnectionPool &pool)
{
    if (m_keep && m_uploaded) {
        pool.give(m_terms.address, std::move(m_connection), core::steadyNow());
    }
}

void RelayAttempt::abort(ErrorCode code, std::string detail)
{
    if (m_failure) {
        return;
    }
    m_failure = core::Error{code, std::move(detail)};
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
    m_caller.cancel();
}

void RelayAttempt::advance(AttemptStage stage)
{
    m_stage = std::max(m_stage, stage);
}

bool RelayAttempt::connect()
{
    if (!m_connection->reused) {
        const auto endpoint = parseAddress(m_terms.address);
        if (!core::ok(endpoint)) {
            abort(ErrorCode::TargetFailed, core::describe(core::error(endpoint)));
            return false;
        }
        boost::system::error_code failure;
        m_connection->socket.async_connect(core::value(endpoint), m_yield[failure]);
        if (failure) {
            abort(ErrorCode::TargetFailed, failure.message());
            return false;
        }
        m_connection->socket.set_option(asio::ip::tcp::no_delay(true), failure);
    }
    advance(AttemptStage::HeadIncomplete);
    return !m_failure;
}

/** The head, and the whole body where it is at hand. */
std::string RelayAttempt::requestBytes(std::size_t &headBytes)
{
    m_head = m_exchange.forwardHead();
    m_head.version(Version11);
    m_marking.setRequestHeaders(m_head, m_terms.target, remaining(m_terms.deadline));
    auto bytes = encode(m_head);
    headBytes = bytes.size();
    const auto &body = m_exchange.body();
    const auto whole = body.whole();
    if (body.present() && whole) {
        if (body.length()) {
            bytes += *whole;
        } else if (whole->empty()) {
            bytes += "0\r\n\r\n";
        } else {
            bytes += fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", whole->size(), *whole);
        }
        m_uploaded = true;
    }
    return bytes;
}

bool RelayAttempt::sendHead()
{
    std::size_t headBytes = 0;
    const auto bytes = requestBytes(headBytes);
    boost::system::error_code failure;
    const auto sent = asio::async_write(m_connection->socket, asio::buffer(bytes), m_yield[failure]);
    if (sent >= headBytes) {
        advance(AttemptStage::HeadSent);
    }
    if (failure) {
        m_stale = !m_failure && m_connection->reused;
        abort(ErrorCode::TargetFailed, failure.message());
    }
    return !m_failure;
}

bool RelayAttempt::sendToTarget(const Yield &yield, const std::string &bytes)
{
    boost::system::error_code failure;
    asio::async_write(m_connection->socket, asio::buffer(bytes), yield[failure]);
    // The target may have answered before it closed: that is for the reading side to find out.
    return !failure && !m_failure;
}

void RelayAttempt::startUpload()
{
    if (m_uploaded || !m_exchange.body().present()) {
        m_uploaded = true;
        watchCaller();
        return;
    }
    m_exchange.sendContinue();
    m_uploading = true;
    m_uploadEnd.expires_at(asio::steady_timer::time_point::max());
    asio::spawn(m_caller.get_executor(), [this](const Yield &yield) {
        upload(yield);
        m_uploading = false;
        m_uploadEnd.cancel();
        if (m_uploaded) {
            watchCaller();
        }
    });
}

void RelayAttempt::upload(const Yield &yield)
{
    const auto &body = m_exchange.body();
    const bool chunked = !body.length();
    std::string piece;
    while (!body.finished()) {
        if (!nextPiece(yield, piece)) {
            return;
        }
        if (chunked && !piece.empty()) {
            piece = fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
        }
        if (!sendToTarget(yield, piece)) {
            return;
        }
    }
    m_uploaded = !chunked || sendToTarget(yield, "0\r\n\r\n");
}

bool RelayAttempt::nextPiece(const Yield &yield, std::string &piece)
{
    m_readStall.arm(m_readPace.left());
    const auto began = core::steadyNow();
    const auto taken = m_exchange.body().next(yield);
    m_readStall.disarm();
    if (!core::ok(taken)) {
        abort(ErrorCode::RequestMalformed, core::error(taken).detail);
        return false;
    }
    piece = core::value(taken);
    m_readPace.moved(piece.size(), core::steadyNow() - began);
    m_bodyBytes += piece.size();
    if (m_bodyBytes > m_terms.maxRequestBytes) {
        abort(ErrorCode::RequestTooLarge, {});
        return false;
    }
    return true;
}

void RelayAttempt::endUpload()
{
    unwatchCaller();
    if (m_uploading) {
        // The last write may have ended already, with its handler still queued.
        asio::post(m_caller.get_executor(), m_yield);
    }
    if (m_uploading) {
        // The answer has ended, or never will come: this target needs no more of the body.
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
        m_caller.cancel();
    }
    while (m_uploading) {
        boost::system::error_code ignored;
        m_uploadEnd.async_wait(m_yield[ignored]);
    }
}

bool RelayAttempt::readAnswerHead()
{
    constexpr unsigned MostOtherHeads = 16;
    for (unsigned others = 0; others <= MostOtherHeads; ++others) {
        if (!readOneHead()) {
            return false;
        }
        if (isFinalHead() && isForThisRequest()) {
            unwatchCaller();
            return !m_failure;
        }
        if (m_failure) {
            return false;
        }
    }
    abort(ErrorCode::TargetFailed, "too many answers that are not this request's");
    return false;
}

bool RelayAttempt::isForThisRequest()
{
    m_signs = m_marking.classifyAnswer(m_head, m_answer->get());
    switch (m_signs.kind) {
    case AnswerKind::Genuine:
        return true;
    case AnswerKind::Stray:
        // It came on this connection before this request's own answer, so that nothing was lost yet.
        if (!skipAnswer()) {
            abort(ErrorCode::TargetFailed, "another request's answer does not end");
        }
        return false;
    case AnswerKind::NotRun:
        turnDown(AttemptStage::Shed, "the target did not run the request");
        return false;
    case AnswerKind::Unverified:
        abort(ErrorCode::TargetFailed, "the answer is not a genuine one");
        return false;
    }
    return false;
}

void RelayAttempt::turnDown(requests::AttemptStage stage, std::string reason)
{
    advance(stage);
    if (skipAnswer()) {
        m_keep = m_answer->keep_alive() && m_connection->buffer.size() == 0;
    }
    if (!m_failure && m_keep) {
        m_failure = core::Error{ErrorCode::TargetFailed, std::move(reason)};
        m_caller.cancel();
        return;
    }
    abort(ErrorCode::TargetFailed, std::move(reason));
}

/** Reads the rest of an answer that nobody gets. Whether it ended, so that another can follow. */
bool RelayAttempt::skipAnswer()
{
    constexpr std::uint64_t MostBytes = 65536;
    std::string piece;
    std::uint64_t skipped = 0;
    const bool endsByItself = !m_answer->need_eof();
    while (!m_failure && !m_answer->is_done() && skipped < MostBytes && endsByItself) {
        if (!readPiece(piece)) {
            return false;
        }
        skipped += piece.size();
    }
    return !m_failure && m_answer->is_done() && endsByItself;
}

bool RelayAttempt::readOneHead()
{
    m_answer.emplace();
    m_answer->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_answer->header_limit(AnswerHeadBytes);
    m_answer->skip(m_exchange.request().method() == message::verb::head);
    beast::error_code failure;
    const auto sent = core::steadyNow();
    message::async_read_header(m_connection->socket, m_connection->buffer, *m_answer, m_yield[failure]);
    m_waited = core::steadyNow() - sent;
    if (failure) {
        m_stale = !m_failure && m_connection->reused && m_connection->buffer.size() == 0 && !m_answer->got_some()
                  && closedByPeer(failure);
        abort(ErrorCode::TargetFailed, failure.message());
        return false;
    }
    const auto &head = m_answer->get();
    const auto fault = framingFault(head, head.version());
    if (fault || head.result() == message::status::switching_protocols) {
        abort(ErrorCode::TargetFailed, fault.value_or("switches protocols unasked"));
        return false;
    }
    return true;
}

bool RelayAttempt::isFinalHead()
{
    constexpr unsigned FirstFinalStatus = 200;
    return m_answer->get().result_int() >= FirstFinalStatus;
}

void RelayAttempt::passAnswer()
{
    if (m_terms.shedIsNotRun && m_answer->get().result() == message::status::service_unavailable) {
        advance(AttemptStage::Shed);
        abort(ErrorCode::TargetFailed, "the target shed the request");
        return;
    }
    constexpr unsigned FirstServerError = 500;
    m_serverError = m_answer->get().result_int() >= FirstServerError;
    if (m_serverError && !m_terms.passServerErrors) {
        turnDown(AttemptStage::AnswerStarted, fmt::format("it answered {}", m_answer->get().result_int()));
        return;
    }
    advance(AttemptStage::AnswerStarted);
    if (!m_exchange.body().received()) {
        m_exchange.closeAfterwards();
    }
    AnswerWriter writer(m_exchange, m_writePace, m_writeStall);
    auto end = BodyFraming::None;
    if (!m_answer->is_done()) {
        end = m_answer->chunked()    ? BodyFraming::LastChunk
              : m_answer->need_eof() ? BodyFraming::Close
                                     : BodyFraming::Length;
    }
    writer.head(m_answer->get(), end);
    const bool passed = passBody(writer) && writer.flush(m_yield);
    m_answered = writer.started();
    if (passed && !m_failure) {
        m_keep = m_answer->keep_alive() && m_connection->buffer.size() == 0;
        return;
    }
    if (m_answered || !m_failure) {
        m_exchange.closeAfterwards();
    }
    if (!m_failure) {
        m_callerGone = true;
        abort(ErrorCode::CallerTooSlow, "its connection ended");
    }
    if (m_answered && writer.end() == BodyFraming::Close) {
        m_exchange.abort();
    }
}

bool RelayAttempt::passBody(AnswerWriter &writer)
{
    std::string piece;
    while (!m_answer->is_done()) {
        const bool wait = m_connection->buffer.size() == 0;
        const bool hold = !writer.started() && writer.size() < m_terms.answerBufferBytes;
        if (!hold && (wait || writer.full()) && !writer.flush(m_yield)) {
            return false;
        }
        if (!readPiece(piece)) {
            return false;
        }
        writer.piece(piece);
    }
    advance(AttemptStage::AnswerWhole);
    writer.last();
    return true;
}

bool RelayAttempt::readPiece(std::string &piece)
{
    piece.resize(PieceBytes);
    auto &body = m_answer->get().body();
    body.data = piece.data();
    body.size = piece.size();
    beast::error_code failure;
    message::async_read_some(m_connection->socket, m_connection->buffer, *m_answer, m_yield[failure]);
    if (failure && failure != message::error::need_buffer) {
        abort(ErrorCode::AnswerTruncated, failure.message());
        return false;
    }
    piece.resize(piece.size() - body.size);
    return true;
}

void RelayAttempt::watchCaller()
{
    if (m_failure || m_answered || m_stage > AttemptStage::HeadSent || !m_exchange.body().received()) {
        return;
    }
    m_watching = std::make_shared<bool>(true);
    awaitCaller();
}

/** Notices the end of the caller's connection; what it sends meanwhile is kept for its next requests. */
void RelayAttempt::awaitCaller()
{
    const auto heard = [this, watching = m_watching](const boost::system::error_code &failure) {
        if (failure || !*watching) {
            return;
        }
        const auto state = m_exchange.readAvailable();
        if (state == CallerConnectionState::Closed) {
            *watching = false;
            m_callerGone = true;
            abort(ErrorCode::CallerTooSlow, "it closed its connection");
        } else if (state == CallerConnectionState::Open) {
            awaitCaller();
        }
    };
    m_caller.socket().async_wait(asio::socket_base::wait_read, asio::bind_executor(m_caller.get_executor(), heard));
}

void RelayAttempt::unwatchCaller()
{
    if (m_watching && std::exchange(*m_watching, false)) {
        boost::system::error_code ignored;
        m_caller.socket().cancel(ignored);
    }
}

RelayResult RelayAttempt::settle()
{
    RelayResult result;
    result.stage = m_stage;
    result.headWaitTime = m_waited;
    const bool shedProves = m_terms.shedIsNotRun || m_signs.kind == AnswerKind::NotRun;
    result.outcome = {requests::provenRunState(m_stage, shedProves), m_failure};
    result.load = m_signs.load;
    result.serverError = m_serverError;
    result.sentToCaller = m_answered;
    result.bodyConsumed = !m_exchange.body().repeatable();
    result.callerLeft = m_callerGone;
    return result;
}

} // namespace pimentoshed::http
