#include "http/watchdog.h"

#include <utility>

namespace pimentoshed::http
{

/** Shared with the timer's handlers, which may still be queued when the watchdog is destroyed. */
struct Watchdog::State {
    std::function<void()> hook;
    /** Incremented by each arm() and disarm(); a handler of an earlier generation does nothing. */
    unsigned generation = 0;
};

Watchdog::Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> hook)
    : m_state(std::make_shared<State>())
    , m_timer(executor)
{
    m_state->hook = std::move(hook);
}

Watchdog::~Watchdog()
{
    disarm();
}

void Watchdog::arm(core::Duration delay)
{
    const auto generation = ++m_state->generation;
    m_timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
    m_timer.async_wait([state = m_state, generation](const boost::system::error_code &failure) {
        if (!failure && state->generation == generation) {
            state->hook();
        }
    });
}

void Watchdog::disarm()
{
    ++m_state->generation;
    m_timer.cancel();
}

} // namespace pimentoshed::http
