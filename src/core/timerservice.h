/**
 * @file
 * Timers of a host: one-shot and periodic callbacks that run on the worker threads.
 */
#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pimentoshed::core
{

namespace detail
{
class TimerEntry;
}

/** Cancels its timer on destruction. A callback that has already started may still be running afterwards. */
class TimerSubscription
{
public:
    TimerSubscription() = default;
    explicit TimerSubscription(std::shared_ptr<detail::TimerEntry> entry);
    ~TimerSubscription();
    TimerSubscription(TimerSubscription &&) noexcept = default;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;

    void cancel();

private:
    std::shared_ptr<detail::TimerEntry> m_entry;
};

/** Creates one-shot and periodic timers. Thread-safe. */
class TimerService
{
public:
    explicit TimerService(boost::asio::io_context &context);

    TimePoint now() const;

    /**
     * Calls @p callback every @p period until the subscription is cancelled. The next period starts when the callback
     * returns; missed calls are not made up for.
     */
    [[nodiscard]] TimerSubscription every(Duration period, std::function<void()> callback);

    /** Calls @p callback once after @p delay, unless the subscription is cancelled before. */
    [[nodiscard]] TimerSubscription after(Duration delay, std::function<void()> callback);

private:
    boost::asio::io_context &m_context;
};

} // namespace pimentoshed::core
