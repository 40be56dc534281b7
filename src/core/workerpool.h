/**
 * @file
 * The pool of workers that every host runs on.
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

/** Threads that wait in one Asio context and run what is posted there. Joins them on destruction. */
class WorkerPool
{
public:
    /** Starts @p threads workers; at least one. */
    explicit WorkerPool(std::size_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    boost::asio::io_context &context();

    /** Runs @p task on some worker. */
    void post(std::function<void()> task);

    /** Drops what is still queued and joins the workers. Idempotent; must not be called by a worker. */
    void stop();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::vector<std::thread> m_threads;
};

} // namespace pimentoshed::core
