/**
 * @file
 * One attempt at a request on one connection to a target.
 */
#pragma once

#include "http/answerwriter.h"
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

/**
 * Sends the request and passes the answer at once: the body goes up in a coroutine of its own, on the same strand, so
 * that a target that answers early can't bring both sides to a halt. The first failure ends both directions.
 */
class RelayAttempt
{
public:
    RelayAttempt(Exchange &exchange, const RelayOptions &terms, std::unique_ptr<TargetConnection> connection);

    RelayResult run();

    /** Whether a reused connection was closed by the target before any of an answer came. */
    bool wasStale() const;

    /** Gives the connection to the pool where both messages ended whole on it. */
    void giveBack(ConnectionPool &pool);

private:
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void abort(core::ErrorCode code, std::string detail);
    void advance(requests::AttemptStage stage);

    bool connect();
    std::string requestBytes(std::size_t &headBytes);
    bool sendHead();
    bool sendToTarget(const Yield &yield, const std::string &bytes);
    void startUpload();
    void upload(const Yield &yield);
    bool nextPiece(const Yield &yield, std::string &piece);
    void endUpload();

    bool readAnswerHead();
    bool readOneHead();
    bool isFinalHead();
    /** Whether the answer whose head was read is this request's; reads another one to its end. */
    bool isForThisRequest();
    /** Ends the attempt by an answer that the caller doesn't get. */
    void turnDown(requests::AttemptStage stage, std::string reason);
    bool skipAnswer();
    void passAnswer();
    bool passBody(AnswerWriter &writer);
    bool readPiece(std::string &piece);

    void watchCaller();
    void awaitCaller();
    void unwatchCaller();
    RelayResult settle();

    Exchange &m_exchange;
    const RelayOptions &m_terms;
    const ProtocolHooks &m_marking;
    /** As it was sent. */
    RequestHead m_head;
    AnswerClassification m_signs;
    std::unique_ptr<TargetConnection> m_connection;
    boost::beast::tcp_stream &m_caller;
    Yield &m_yield;
    Watchdog m_deadline;
    Watchdog m_readStall;
    Watchdog m_writeStall;
    boost::asio::steady_timer m_uploadEnd;
    StallBudget m_readPace;
    StallBudget m_writePace;
    std::optional<AnswerParser> m_answer;
    std::optional<core::Error> m_failure;
    requests::AttemptStage m_stage = requests::AttemptStage::NotConnected;
    core::Duration m_waited{};
    std::shared_ptr<bool> m_watching;
    std::uint64_t m_bodyBytes = 0;
    bool m_uploading = false;
    bool m_uploaded = false;
    bool m_answered = false;
    bool m_callerGone = false;
    bool m_stale = false;
    bool m_keep = false;
    bool m_serverError = false;
};

} // namespace pimentoshed::http
