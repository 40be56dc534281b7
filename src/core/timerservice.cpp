#include "core/timerservice.h"

#include "core/rankedmutex.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace pimentoshed::core
{

namespace detail
{

/** The timer of one subscription and its callback. Thread-safe; the mutex is not held while the callback runs. */
class TimerEntry : public std::enable_shared_from_this<TimerEntry>
{
public:
    TimerEntry(boost::asio::io_context &context, Duration period, bool repeats, std::function<void()> callback)
        : m_timer(context)
        , m_period(period)
        , m_repeats(repeats)
        , m_callback(std::move(callback))
    {
    }

    void arm()
    {
        const Lock lock(m_mutex);
        if (m_cancelled) {
            return;
        }
        m_timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(m_period));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &failure) {
            if (!failure) {
                self->fire();
            }
        });
    }

    void cancel()
    {
        const Lock lock(m_mutex);
        m_cancelled = true;
        m_timer.cancel();
    }

private:
    void fire()
    {
        if (isCancelled()) {
            return;
        }
        m_callback();
        if (m_repeats) {
            arm();
        }
    }

    bool isCancelled()
    {
        const Lock lock(m_mutex);
        return m_cancelled;
    }

    RankedMutex m_mutex{LockRank::Timers};
    boost::asio::steady_timer m_timer;
    const Duration m_period;
    const bool m_repeats;
    bool m_cancelled = false;
    const std::function<void()> m_callback;
};

} // namespace detail

TimerSubscription::TimerSubscription(std::shared_ptr<detail::TimerEntry> entry)
    : m_entry(std::move(entry))
{
}

TimerSubscription::~TimerSubscription()
{
    cancel();
}

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    cancel();
    m_entry = std::move(other.m_entry);
    return *this;
}

void TimerSubscription::cancel()
{
    if (m_entry) {
        m_entry->cancel();
        m_entry.reset();
    }
}

TimerService::TimerService(boost::asio::io_context &context)
    : m_context(context)
{
}

TimePoint TimerService::now() const
{
    return steadyNow();
}

TimerSubscription TimerService::every(Duration period, std::function<void()> callback)
{
    auto entry = std::make_shared<detail::TimerEntry>(m_context, period, true, std::move(callback));
    entry->arm();
    return TimerSubscription(std::move(entry));
}

TimerSubscription TimerService::after(Duration delay, std::function<void()> callback)
{
    auto entry = std::make_shared<detail::TimerEntry>(m_context, delay, false, std::move(callback));
    entry->arm();
    return TimerSubscription(std::move(entry));
}

} // namespace pimentoshed::core
