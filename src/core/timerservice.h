/**
 * @file
 * One source of time for a host: parts subscribe to it and are called on the workers.
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

/** Ends its subscription when it goes. A callback that already runs may still be running then. */
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

/** Gives out subscriptions to moments and to periods. Thread-safe. */
class TimerService
{
public:
    explicit TimerService(boost::asio::io_context &context);

    TimePoint now() const;

    /** Calls @p callback every @p period until the subscription goes; late calls are not made up for. */
    [[nodiscard]] TimerSubscription every(Duration period, std::function<void()> callback);

    /** Calls @p callback once after @p delay unless the subscription goes first. */
    [[nodiscard]] TimerSubscription after(Duration delay, std::function<void()> callback);

private:
    boost::asio::io_context &m_context;
};

} // namespace pimentoshed::core
