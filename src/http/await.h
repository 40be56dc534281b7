/**
 * @file
 * Suspends a coroutine until a callback is called, possibly on another thread.
 */
#pragma once

#include "http/exchange.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace pimentoshed::http
{

/**
 * Calls @p start with a callback, suspends the exchange's coroutine until that callback was called and returns the
 * callback's argument. The callback must be called exactly once; any thread may call it.
 */
template<typename Value>
Value await(Exchange &exchange, const std::function<void(std::function<void(Value)>)> &start)
{
    struct State {
        explicit State(const boost::asio::any_io_executor &executor)
            : timer(executor, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer timer;
        std::optional<Value> value;
    };
    // The stream's executor is the strand. In Boost 1.74 the executor associated with the yield context is the system
    // executor, outside the strand.
    const boost::asio::any_io_executor executor = exchange.stream().get_executor();
    const auto state = std::make_shared<State>(executor);
    start([state, executor](Value value) {
        // Posted to the coroutine's strand, so that the value is set either before a wait starts or during it.
        boost::asio::post(executor, [state, value = std::move(value)]() mutable {
            state->value.emplace(std::move(value));
            state->timer.cancel();
        });
    });
    while (!state->value) {
        boost::system::error_code cancelled;
        state->timer.async_wait(exchange.yield()[cancelled]);
    }
    return std::move(*state->value);
}

} // namespace pimentoshed::http
