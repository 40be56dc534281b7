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

asio::steady_timer::duration timeUntil(core::TimePoint moment)
{
    return std::chrono::duration_cast<asio::steady_timer::duration>(moment - core::steadyNow());
}

bool closedByPeer(const beast::error_code &failure)
{
    return failure == message::error::end_of_stream || failure == asio::error::eof
           || failure == asio::error::connection_reset || failure == asio::error::broken_pipe;
}

/**
 * Whether a write failed because the connection broke. A write on a connection that this host has closed fails as well,
 * and so does one after a reset that followed the regular end of the peer's bytes (EPIPE).
 */
bool isConnectionBroken(const beast::error_code &failure)
{
    return failure && failure != asio::error::operation_aborted && failure != asio::error::bad_descriptor
           && failure != asio::error::broken_pipe;
}

} // namespace

RelayAttempt::RelayAttempt(Exchange &exchange,
                           const RelayOptions &options,
                           std::unique_ptr<TargetConnection> connection,
                           const Yield &yield,
                           const SharedCaller *shared)
    : m_exchange(exchange)
    , m_options(options)
    , m_protocolHooks(options.hooks())
    , m_requestId(m_protocolHooks.requestId(exchange))
    , m_connection(std::move(connection))
    , m_caller(exchange.stream())
    , m_yield(yield)
    , m_shared(shared)
    , m_deadline(m_caller.get_executor(),
                 [this]() {
                     abort(ErrorCode::DeadlinePassed, {});
                 })
    , m_readWatchdog(m_caller.get_executor(),
                     [this]() {
                         abort(ErrorCode::CallerTooSlow, "the caller sent its request too slowly");
                     })
    , m_writeWatchdog(m_caller.get_executor(),
                      [this]() {
                          m_callerLeft = true;
                          abort(ErrorCode::CallerTooSlow, "the caller read its response too slowly");
                      })
    , m_callerWatch(exchange,
                    [this]() {
                        cancel(true);
                    })
    , m_uploadEnd(m_caller.get_executor())
    , m_readBudget(options.minimumRate)
    , m_writeBudget(options.minimumRate)
{
}

RelayResult RelayAttempt::run()
{
    if (timeUntil(m_options.deadline) <= core::Duration{}) {
        abort(ErrorCode::DeadlinePassed, {});
        return makeResult();
    }
    m_deadline.arm(timeUntil(m_options.deadline));
    watchCaller();
    if (connect() && isCallerConnected() && sendHead()) {
        startUpload();
        if (readAnswerHead()) {
            relayAnswer();
        }
        stopUpload();
    }
    m_callerWatch.stop();
    m_deadline.disarm();
    return makeResult();
}

void RelayAttempt::cancel(bool hasCallerLeft)
{
    if (m_failure) {
        return;
    }
    m_callerLeft = hasCallerLeft;
    m_isSuperseded = !hasCallerLeft;
    abort(hasCallerLeft ? ErrorCode::CallerTooSlow : ErrorCode::TargetFailed,
          hasCallerLeft ? "the caller closed its connection" : "another attempt was answered first");
}

bool RelayAttempt::wasStale() const
{
    return m_stale;
}

void RelayAttempt::returnConnection(ConnectionPool &pool)
{
    if (m_canReuse && m_uploaded) {
        pool.give(m_options.address, std::move(m_connection), core::steadyNow());
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
    cancelCaller();
}

void RelayAttempt::cancelCaller()
{
    if (m_shared == nullptr || m_shared->hasClaim()) {
        m_caller.cancel();
    }
}

void RelayAttempt::reachStage(AttemptStage stage)
{
    m_stage = std::max(m_stage, stage);
}

bool RelayAttempt::connect()
{
    if (!m_connection->reused) {
        const auto endpoint = parseAddress(m_options.address);
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
    reachStage(AttemptStage::HeadIncomplete);
    return !m_failure;
}

std::string RelayAttempt::requestBytes(std::size_t &headBytes)
{
    m_sentHead = m_exchange.forwardHead();
    m_sentHead.version(Version11);
    m_protocolHooks.setRequestHeaders(m_sentHead, m_options.target, timeUntil(m_options.deadline));
    if (m_options.workspace) {
        m_protocolHooks.setWorkspace(m_sentHead, *m_options.workspace);
    }
    auto bytes = encode(m_sentHead);
    headBytes = bytes.size();
    const auto &body = m_exchange.body();
    const auto keptBody = body.keptBody();
    if (body.present() && keptBody) {
        if (body.length()) {
            bytes += *keptBody;
        } else if (keptBody->empty()) {
            bytes += "0\r\n\r\n";
        } else {
            bytes += fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", keptBody->size(), *keptBody);
        }
        m_uploaded = true;
    }
    return bytes;
}

bool RelayAttempt::isCallerConnected()
{
    if (m_exchange.hasCallerLeft()) {
        m_callerLeft = true;
        abort(ErrorCode::CallerTooSlow, "the caller closed its connection");
    }
    return !m_failure;
}

bool RelayAttempt::recordUse()
{
    auto &carried = m_connection->carried;
    m_connectionUse = {m_connection->number, carried.count(), 0};
    if (!carried.mayCarry(m_requestId)) {
        abort(ErrorCode::TargetFailed, "the connection has carried this request already, or too many");
        return false;
    }
    carried.add(m_requestId);
    return true;
}

bool RelayAttempt::sendHead()
{
    if (!recordUse()) {
        return false;
    }
    std::size_t headBytes = 0;
    const auto bytes = requestBytes(headBytes);
    boost::system::error_code failure;
    const auto sent = asio::async_write(m_connection->socket, asio::buffer(bytes), m_yield[failure]);
    if (sent >= headBytes) {
        reachStage(AttemptStage::HeadSent);
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
    m_isSending = true;
    asio::async_write(m_connection->socket, asio::buffer(bytes), yield[failure]);
    m_isSending = false;
    // The attempt goes on: the target may have responded before it closed, which the reading side finds out.
    if (isConnectionBroken(failure)) {
        m_uploadFailure = failure;
    }
    return !failure && !m_failure && m_connection->socket.is_open();
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
        if (!readRequestPiece(yield, piece)) {
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

bool RelayAttempt::readRequestPiece(const Yield &yield, std::string &piece)
{
    m_readWatchdog.arm(m_readBudget.remaining());
    const auto start = core::steadyNow();
    const auto read = m_exchange.body().next(yield);
    m_readWatchdog.disarm();
    if (!core::ok(read)) {
        abort(ErrorCode::RequestMalformed, core::error(read).detail);
        return false;
    }
    piece = core::value(read);
    m_readBudget.record(piece.size(), core::steadyNow() - start);
    m_bodyBytes += piece.size();
    if (m_bodyBytes > m_options.maxRequestBytes) {
        abort(ErrorCode::RequestTooLarge, {});
        return false;
    }
    return true;
}

void RelayAttempt::stopUpload()
{
    m_callerWatch.stop();
    if (m_uploading) {
        // The last write may have ended already with its handler still queued; this lets queued handlers run.
        asio::post(m_caller.get_executor(), m_yield);
    }
    if (m_uploading) {
        // The response has ended or will not come, so the rest of the body is not needed.
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
        m_caller.cancel();
    }
    awaitUploadEnd();
}

void RelayAttempt::awaitUploadEnd()
{
    while (m_uploading) {
        boost::system::error_code ignored;
        m_uploadEnd.async_wait(m_yield[ignored]);
    }
}

bool RelayAttempt::readAnswerHead()
{
    constexpr unsigned MaxSkippedHeads = 16;
    for (unsigned skippedHeads = 0; skippedHeads <= MaxSkippedHeads; ++skippedHeads) {
        if (!readOneHead()) {
            return false;
        }
        if (isFinalHead() && isForThisRequest()) {
            m_callerWatch.stop();
            return !m_failure;
        }
        if (m_failure) {
            return false;
        }
    }
    abort(ErrorCode::TargetFailed, "too many interim or stray responses before the one to this request");
    return false;
}

bool RelayAttempt::isForThisRequest()
{
    m_classification = m_protocolHooks.classifyAnswer(m_sentHead, m_answerParser->get());
    switch (m_classification.kind) {
    case AnswerKind::Genuine:
        return true;
    case AnswerKind::Stray:
        // It arrived before this request's own response, which may still follow on the connection.
        ++m_connectionUse.strayResponses;
        if (!skipAnswer()) {
            abort(ErrorCode::TargetFailed, "could not skip a stray response to another request");
        }
        return false;
    case AnswerKind::NotRun:
        rejectAnswer(AttemptStage::Shed, "the target reported that it did not run the request");
        return false;
    case AnswerKind::Unverified:
        abort(ErrorCode::TargetFailed, "the response can't be verified as belonging to this request");
        return false;
    }
    return false;
}

void RelayAttempt::rejectAnswer(requests::AttemptStage stage, std::string reason)
{
    reachStage(stage);
    if (skipAnswer()) {
        m_canReuse = canCarryAnother();
    }
    if (!m_failure && m_canReuse) {
        m_failure = core::Error{ErrorCode::TargetFailed, std::move(reason)};
        cancelCaller();
        return;
    }
    abort(ErrorCode::TargetFailed, std::move(reason));
}

bool RelayAttempt::canCarryAnother() const
{
    return m_answerParser->keep_alive() && m_connection->buffer.size() == 0 && m_connectionUse.strayResponses == 0;
}

bool RelayAttempt::skipAnswer()
{
    constexpr std::uint64_t MaxSkippedBytes = 65536;
    /** Bounds the work for a body of many small chunks, each of which is a piece. */
    constexpr unsigned MaxSkippedPieces = 1024;
    std::string piece;
    std::uint64_t skipped = 0;
    unsigned pieces = 0;
    const bool endsByItself = !m_answerParser->need_eof();
    while (!m_failure && !m_answerParser->is_done() && skipped < MaxSkippedBytes && pieces < MaxSkippedPieces
           && endsByItself) {
        ++pieces;
        if (!readAnswerPiece(piece)) {
            return false;
        }
        skipped += piece.size();
    }
    return !m_failure && m_answerParser->is_done() && endsByItself;
}

bool RelayAttempt::readOneHead()
{
    m_answerParser.emplace();
    m_answerParser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_answerParser->header_limit(AnswerHeadBytes);
    m_answerParser->skip(m_exchange.request().method() == message::verb::head);
    beast::error_code failure;
    const auto sent = core::steadyNow();
    message::async_read_header(m_connection->socket, m_connection->buffer, *m_answerParser, m_yield[failure]);
    m_headWaitTime = core::steadyNow() - sent;
    if (failure) {
        m_stale = !m_failure && m_connection->reused && m_connection->buffer.size() == 0 && !m_answerParser->got_some()
                  && closedByPeer(failure);
        abort(ErrorCode::TargetFailed, failure.message());
        return false;
    }
    const auto &head = m_answerParser->get();
    const auto fault = answerFault(head);
    if (fault || head.result() == message::status::switching_protocols) {
        abort(ErrorCode::TargetFailed, fault.value_or("unrequested status 101 (Switching Protocols)"));
        return false;
    }
    return true;
}

bool RelayAttempt::hasSign() const
{
    return m_stage > AttemptStage::HeadSent || (m_answerParser && m_answerParser->got_some())
           || m_connection->buffer.size() > 0;
}

bool RelayAttempt::isFinalHead()
{
    constexpr unsigned FirstFinalStatus = 200;
    return m_answerParser->get().result_int() >= FirstFinalStatus;
}

void RelayAttempt::relayAnswer()
{
    if (m_options.shedIsNotRun && m_answerParser->get().result() == message::status::service_unavailable) {
        reachStage(AttemptStage::Shed);
        abort(ErrorCode::TargetFailed, "the target shed the request with status 503");
        return;
    }
    constexpr unsigned FirstServerError = 500;
    m_serverError = m_answerParser->get().result_int() >= FirstServerError;
    if (m_classification.isUnprovenRefusal && !m_options.idempotent) {
        rejectAnswer(AttemptStage::AnswerStarted,
                     fmt::format("the target refused the request with status {}, without proof that it did not run it",
                                 m_answerParser->get().result_int()));
        return;
    }
    const bool isReplaceable = !m_options.passServerErrors || (m_shared != nullptr && m_shared->hasOther());
    if (m_serverError && isReplaceable) {
        rejectAnswer(AttemptStage::AnswerStarted,
                     fmt::format("the target responded with status {}", m_answerParser->get().result_int()));
        return;
    }
    reachStage(AttemptStage::AnswerStarted);
    if (!m_exchange.body().received()) {
        m_exchange.closeAfterwards();
    }
    AnswerWriter writer(m_exchange, m_writeBudget, m_writeWatchdog);
    auto framing = BodyFraming::None;
    if (!m_answerParser->is_done()) {
        framing = m_answerParser->chunked()    ? BodyFraming::LastChunk
                  : m_answerParser->need_eof() ? BodyFraming::Close
                                               : BodyFraming::Length;
    }
    writer.head(m_answerParser->get(), framing);
    const bool endsWithConnection = writer.framing() == BodyFraming::Close;
    if (endsWithConnection) {
        m_exchange.resetIfCut(true);
    }
    const bool isRelayed = relayBody(writer) && flush(writer);
    m_sentToCaller = writer.hasStarted();
    if (isRelayed && !m_failure) {
        if (endsWithConnection) {
            m_exchange.resetIfCut(false);
        }
        m_canReuse = canCarryAnother();
        return;
    }
    if (m_sentToCaller || !m_failure) {
        m_exchange.closeAfterwards();
    }
    if (!m_failure) {
        m_callerLeft = true;
        abort(ErrorCode::CallerTooSlow, "writing the response to the caller failed");
    }
    if (m_sentToCaller && endsWithConnection) {
        m_exchange.abort();
    }
}

bool RelayAttempt::relayBody(AnswerWriter &writer)
{
    std::string piece;
    while (!m_answerParser->is_done()) {
        const bool mustWait = m_connection->buffer.size() == 0;
        const bool isBuffering = !writer.hasStarted() && writer.size() < m_options.answerBufferBytes;
        if (!isBuffering && (mustWait || writer.isFull()) && !flush(writer)) {
            return false;
        }
        if (!readAnswerPiece(piece)) {
            return false;
        }
        writer.append(piece);
    }
    if (m_answerParser->need_eof() && !hasRegularEnd()) {
        return false;
    }
    reachStage(AttemptStage::AnswerWhole);
    writer.finish();
    return true;
}

bool RelayAttempt::hasRegularEnd()
{
    if (m_isSending) {
        // The write may have failed already with its handler still queued.
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
        awaitUploadEnd();
    }
    if (m_uploadFailure) {
        abort(ErrorCode::AnswerTruncated, m_uploadFailure.message());
    }
    return !m_failure;
}

bool RelayAttempt::flush(AnswerWriter &writer)
{
    if (!writer.hasStarted() && m_shared != nullptr && !m_shared->claim()) {
        cancel(false);
        return false;
    }
    return writer.flush(m_yield);
}

bool RelayAttempt::readAnswerPiece(std::string &piece)
{
    piece.resize(PieceBytes);
    auto &body = m_answerParser->get().body();
    body.data = piece.data();
    body.size = piece.size();
    beast::error_code failure;
    message::async_read_some(m_connection->socket, m_connection->buffer, *m_answerParser, m_yield[failure]);
    if (failure && failure != message::error::need_buffer) {
        abort(ErrorCode::AnswerTruncated, failure.message());
        return false;
    }
    piece.resize(piece.size() - body.size);
    return true;
}

void RelayAttempt::watchCaller()
{
    const bool isWaiting = !m_failure && !m_sentToCaller && m_stage <= AttemptStage::HeadSent;
    if (isWaiting && m_shared == nullptr && m_exchange.body().received()) {
        m_callerWatch.start();
    }
}

RelayResult RelayAttempt::makeResult()
{
    RelayResult result;
    result.stage = m_stage;
    result.headWaitTime = m_headWaitTime;
    const bool shedProvesNotRun = m_options.shedIsNotRun || m_classification.kind == AnswerKind::NotRun;
    result.outcome = {requests::provenRunState(m_stage, shedProvesNotRun), m_failure};
    result.signals = m_classification.signals;
    result.connection = m_connectionUse;
    result.targetStatus = m_answerParser && m_answerParser->is_header_done() ? m_answerParser->get().result_int() : 0;
    result.isUnprovenRefusal = m_classification.isUnprovenRefusal;
    result.serverError = m_serverError;
    const bool hasDeadlinePassed = m_failure && m_failure->code == ErrorCode::DeadlinePassed;
    result.isSilent = (hasDeadlinePassed || m_isSuperseded) && m_stage == AttemptStage::HeadSent && !hasSign();
    result.sentToCaller = m_sentToCaller;
    result.bodyConsumed = !m_exchange.body().canRewind();
    result.callerLeft = m_callerLeft;
    result.isSuperseded = m_isSuperseded;
    return result;
}

} // namespace pimentoshed::http
