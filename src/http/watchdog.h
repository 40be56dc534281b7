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

/** The hook is never called after disarm() or destruction, not even where it was already queued. */
class Watchdog
{
public:
    /** @p executor is the strand that also runs the coroutine. */
    Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> hook);
    ~Watchdog();
    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    /** Has the hook called after @p delay; ends an earlier wait. */
    void arm(core::Duration delay);
    void disarm();

private:
    struct State;
    std::shared_ptr<State> m_state;
    boost::asio::steady_timer m_timer;
};

} // namespace pimentoshed::http
