/**
 * @file
 * Calls a hook when an operation takes too long, on the strand of the coroutine that waits for it.
 */
#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace pimentoshed::http
{

/**
 * Calls a hook once when its timer expires. The hook is never called after disarm() or destruction, even if the timer's
 * handler was already queued.
 */
class Watchdog
{
public:
    /** @p executor is the strand that also runs the coroutine. */
    Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> hook);
    ~Watchdog();
    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    /** Starts the timer with @p delay, in place of an earlier one. */
    void arm(core::Duration delay);
    void disarm();

private:
    struct State;
    std::shared_ptr<State> m_state;
    boost::asio::steady_timer m_timer;
};

} // namespace pimentoshed::http
