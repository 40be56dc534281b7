/**
 * @file
 * One attempt to relay a request on one connection to a target.
 */
#pragma once

#include "http/answerwriter.h"
#include "http/callerwatch.h"
#include "http/connectionpool.h"
#include "http/exchange.h"
#include "http/relay.h"
#include "http/watchdog.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

namespace pimentoshed::http
{

/** What an attempt needs to know of another one that may run at the same time for the same caller. */
struct SharedCaller {
    /** Called before anything is sent to the caller. Returns false if it gets the other attempt's response. */
    std::function<bool()> claim;
    /** Whether this attempt's response goes to the caller. */
    std::function<bool()> hasClaim;
    /** Whether the other attempt may still bring a response. */
    std::function<bool()> hasOther;
};

/**
 * Sends the request and relays the response at the same time. The body is uploaded in a coroutine of its own, on the
 * same strand, so that a target that responds before it has read the whole body can't cause a deadlock. The first
 * failure ends both directions.
 *
 * With a SharedCaller, the request's body must have been received and kept, and the caller is watched by whoever shares
 * it: the attempt touches the caller's connection only once it has claimed it.
 */
class RelayAttempt
{
public:
    /** @p yield belongs to the coroutine that calls run(). @p shared is null if there is no other attempt. */
    RelayAttempt(Exchange &exchange,
                 const RelayOptions &options,
                 std::unique_ptr<TargetConnection> connection,
                 const Yield &yield,
                 const SharedCaller *shared = nullptr);

    /** Makes the attempt. Called once. */
    RelayResult run();

    /** Ends the attempt, because its response isn't needed any more or the caller has left. */
    void cancel(bool hasCallerLeft);

    /** Whether the attempt failed because the target closed a reused connection before any byte of a response came. */
    bool wasStale() const;

    /** Returns the connection to @p pool if the request and the response were both transferred completely on it. */
    void returnConnection(ConnectionPool &pool);

private:
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /** Records the failure, unless there is one already, and cancels the operations of both connections. */
    void abort(core::ErrorCode code, std::string detail);
    /** Cancels the operations of the caller's connection, unless it is left to another attempt. */
    void cancelCaller();
    void reachStage(requests::AttemptStage stage);
    /** Records the request in the history of the connection. Ends the attempt if the connection must not carry it. */
    bool recordUse();

    bool connect();
    /**
     * Returns the encoded head, followed by the body if all of it was received and kept. Sets @p headBytes to the
     * length of the head.
     */
    std::string requestBytes(std::size_t &headBytes);
    /** Checks, right before a target gets the request, that the caller still waits for the response. */
    bool isCallerConnected();
    bool sendHead();
    bool sendToTarget(const Yield &yield, const std::string &bytes);
    void startUpload();
    void upload(const Yield &yield);
    bool readRequestPiece(const Yield &yield, std::string &piece);
    /** Cancels an upload that is still running and waits for its coroutine to end. */
    void stopUpload();
    /** Waits until the upload's coroutine has ended. */
    void awaitUploadEnd();

    /** Reads heads up to the final one of this request's response. Returns false if the attempt has failed. */
    bool readAnswerHead();
    bool readOneHead();
    bool isFinalHead();
    bool hasSign() const;
    /**
     * Whether the response whose head was read belongs to this request. Skips a stray response, and ends the attempt on
     * any other response that the caller must not get.
     */
    bool isForThisRequest();
    /** Ends the attempt without sending the response to the caller. The connection is kept if the response ends. */
    void rejectAnswer(requests::AttemptStage stage, std::string reason);
    /** Whether the connection stays open after the response that was read and has brought nothing else. */
    bool canCarryAnother() const;
    /** Reads and discards the rest of a response. Returns whether another response can follow on the connection. */
    bool skipAnswer();
    void relayAnswer();
    bool relayBody(AnswerWriter &writer);
    /**
     * Whether the end of the connection, after which no more can be read, is the end of the response. The system
     * reports a reset only once: after a write has got it, a read finds a regular end. Ends the attempt if the
     * connection broke.
     */
    bool hasRegularEnd();
    bool flush(AnswerWriter &writer);
    bool readAnswerPiece(std::string &piece);

    /** Starts to watch the caller's connection once the request was received completely. */
    void watchCaller();
    RelayResult makeResult();

    Exchange &m_exchange;
    const RelayOptions &m_options;
    const ProtocolHooks &m_protocolHooks;
    /** The request's head as it was sent to the target. */
    RequestHead m_sentHead;
    const std::string m_requestId;
    AnswerClassification m_classification;
    ConnectionUse m_connectionUse;
    std::unique_ptr<TargetConnection> m_connection;
    boost::beast::tcp_stream &m_caller;
    Yield m_yield;
    const SharedCaller *const m_shared;
    /** Aborts the attempt when its deadline passes. */
    Watchdog m_deadline;
    /** Aborts the attempt when the caller sends its request too slowly. */
    Watchdog m_readWatchdog;
    /** Aborts the attempt when the caller reads its response too slowly. */
    Watchdog m_writeWatchdog;
    /** Aborts the attempt if the caller closes its connection. */
    CallerWatch m_callerWatch;
    boost::asio::steady_timer m_uploadEnd;
    StallBudget m_readBudget;
    StallBudget m_writeBudget;
    std::optional<AnswerParser> m_answerParser;
    std::optional<core::Error> m_failure;
    requests::AttemptStage m_stage = requests::AttemptStage::NotConnected;
    core::Duration m_headWaitTime{};
    std::uint64_t m_bodyBytes = 0;
    /** Why the connection broke while the body was written to it, if it did. */
    boost::system::error_code m_uploadFailure;
    /** Whether a piece of the body is being written to the target. */
    bool m_isSending = false;
    bool m_uploading = false;
    bool m_uploaded = false;
    bool m_sentToCaller = false;
    bool m_callerLeft = false;
    bool m_isSuperseded = false;
    bool m_stale = false;
    bool m_canReuse = false;
    bool m_serverError = false;
};

} // namespace pimentoshed::http
