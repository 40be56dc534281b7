#include "core/workerpool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <utility>

namespace pimentoshed::core
{

WorkerPool::WorkerPool(std::size_t threads)
    : m_workGuard(boost::asio::make_work_guard(m_context))
{
    const auto count = std::max<std::size_t>(threads, 1);
    m_threads.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        m_threads.emplace_back([this]() {
            m_context.run();
        });
    }
}

WorkerPool::~WorkerPool()
{
    stop();
}

boost::asio::io_context &WorkerPool::context()
{
    return m_context;
}

void WorkerPool::post(std::function<void()> task)
{
    boost::asio::post(m_context, std::move(task));
}

void WorkerPool::finish()
{
    std::promise<void> reached;
    post([&reached]() {
        reached.set_value();
    });
    reached.get_future().wait();
    stop();
}

void WorkerPool::stop()
{
    m_workGuard.reset();
    m_context.stop();
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace pimentoshed::core
