/**
 * @file
 * Encodes a target's answer for a caller and writes it in pieces.
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

/** How the caller learns where the answer's body ends. */
enum class BodyFraming : std::uint8_t {
    /** There is no body, whatever the head says. */
    None,
    Length,
    LastChunk,
    /** The end of the connection. */
    Close,
};

/** Used by one coroutine. Holds at most about two pieces. */
class AnswerWriter
{
public:
    AnswerWriter(Exchange &exchange, StallBudget &pace, Watchdog &stall);

    /** Takes the target's @p head, whose body ends as @p end says. */
    void head(const AnswerHead &head, BodyFraming end);
    void piece(std::string_view bytes);
    /** Takes the end of the body. */
    void last();

    /** Whether enough is held that it should go out before more is taken. */
    bool full() const;
    std::size_t size() const;
    bool empty() const;
    /** Whether anything was given to the operating system. */
    bool started() const;
    /** How the caller learns where the body ends. */
    BodyFraming end() const;

    /** Writes what is held. False where the caller did not take it. */
    bool flush(const Yield &yield);

private:
    Exchange &m_exchange;
    StallBudget &m_pace;
    Watchdog &m_stall;
    std::string m_held;
    BodyFraming m_end = BodyFraming::None;
    bool m_started = false;
};

} // namespace pimentoshed::http
