/**
 * @file
 * Encodes a target's response for a caller and writes it in pieces.
 */
#pragma once

#include "http/exchange.h"
#include "http/stallbudget.h"
#include "http/watchdog.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentoshed::http
{

/** How the end of a response's body is marked. */
enum class BodyFraming : std::uint8_t {
    /** There is no body, whatever the head declares. */
    None,
    /** By Content-Length. */
    Length,
    /** By the last chunk of a chunked body. */
    LastChunk,
    /** By closing the connection. */
    Close,
};

/**
 * Buffers the encoded response until flush() writes it to the caller. Where flush() is called whenever isFull(), at
 * most about two pieces of the body are buffered. Used by one coroutine.
 */
class AnswerWriter
{
public:
    /** @p budget limits how long each write may take; @p watchdog is armed with that time during the write. */
    AnswerWriter(Exchange &exchange, StallBudget &budget, Watchdog &watchdog);

    /**
     * Takes the target's @p head for the caller, which is encoded when it is written. @p framing is how the target
     * marks the end of the body. A body without a length is sent in chunks, because only their last one shows that it
     * is complete; to a caller that uses HTTP/1.0, it ends by closing the connection.
     */
    void head(const AnswerHead &head, BodyFraming framing);
    /** Appends @p bytes of the body. */
    void append(std::string_view bytes);
    /** Appends the mark of the body's end, where the framing has one. */
    void finish();

    /** Whether so much is buffered that flush() should be called before more is appended. */
    bool isFull() const;
    std::size_t size() const;
    /** Whether flush() has begun to write any of the response. */
    bool hasStarted() const;
    /** How the end of the body is marked for the caller. */
    BodyFraming framing() const;

    /** Writes what is buffered. Returns false if the write failed or the watchdog ended it. */
    bool flush(const Yield &yield);

private:
    /** Puts the encoded head before what is buffered, and decides whether the connection is closed afterwards. */
    void encodeHead();

    Exchange &m_exchange;
    StallBudget &m_budget;
    Watchdog &m_watchdog;
    AnswerHead m_head;
    std::string m_buffered;
    BodyFraming m_framing = BodyFraming::None;
    bool m_hasStarted = false;
};

} // namespace pimentoshed::http
