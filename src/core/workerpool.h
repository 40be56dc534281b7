/**
 * @file
 * The pool of worker threads that a host runs on.
 */
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace pimentoshed::core
{

/** Worker threads that run the handlers of one Asio io_context. The destructor stops and joins them. */
class WorkerPool
{
public:
    /** Starts @p threads workers, but at least one. */
    explicit WorkerPool(std::size_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    boost::asio::io_context &context();

    /** Queues @p task to run on one of the workers. Thread-safe. */
    void post(std::function<void()> task);

    /**
     * Waits for the tasks that are queued now, then stops. Must not be called by a worker. For pools of one worker:
     * with several, a task may still run when a later one ends.
     */
    void finish();

    /** Drops the tasks still queued and joins the workers. Idempotent; must not be called by a worker. */
    void stop();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::vector<std::thread> m_threads;
};

} // namespace pimentoshed::core
