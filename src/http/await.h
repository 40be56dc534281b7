/**
 * @file
 * Waits in a coroutine for a hook that is called on another thread.
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
 * Runs @p start with a hook and yields the exchange's coroutine until that hook was called; its value. The hook must be
 * called once.
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
    // Not the yield's associated executor: in Boost 1.74 that is the system's, outside the strand.
    const boost::asio::any_io_executor executor = exchange.stream().get_executor();
    const auto state = std::make_shared<State>(executor);
    start([state, executor](Value value) {
        // On the coroutine's own strand, so that it is seen either before the wait or by it.
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
