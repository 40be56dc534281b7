/**
 * @file
 * Notices that a caller closes its connection while its request is in progress.
 */
#pragma once

#include "http/exchange.h"

#include <functional>
#include <memory>

namespace pimentoshed::http
{

/** Watches the connection of one exchange, on its strand, while nothing else reads from it. */
class CallerWatch
{
public:
    /** @p onLeft is called once when the caller has left. */
    CallerWatch(Exchange &exchange, std::function<void()> onLeft);
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    /** Starts to watch, unless it does already. Requests that arrive meanwhile are buffered. */
    void start();
    /** Stops to watch. The hook is not called afterwards. */
    void stop();

private:
    void await();

    Exchange &m_exchange;
    const std::function<void()> m_onLeft;
    /** Whether the connection is watched; shared with the handler that waits. */
    std::shared_ptr<bool> m_watching;
};

} // namespace pimentoshed::http
