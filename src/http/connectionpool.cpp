#include "http/connectionpool.h"

#include <cstddef>
#include <utility>

namespace pimentoshed::http
{

namespace
{

constexpr std::size_t MaxIdlePerAddress = 64;
/** Servers usually close idle connections after whole seconds: one that was idle for less than that is still open. */
constexpr auto MaxFreshIdle = std::chrono::milliseconds(900);

/** Whether the peer has neither sent any bytes nor closed the connection. */
bool isOpenAndSilent(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code failure;
    char byte = 0;
    socket.non_blocking(true, failure);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, failure);
    return failure == boost::asio::error::would_block;
}

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &context)
    : m_context(context)
{
}

std::unique_ptr<TargetConnection> ConnectionPool::take(const std::string &address, std::string_view requestId)
{
    return takeIdleSince(address, requestId, core::TimePoint::min());
}

std::unique_ptr<TargetConnection> ConnectionPool::takeFresh(const std::string &address,
                                                            std::string_view requestId,
                                                            core::TimePoint now)
{
    return takeIdleSince(address, requestId, now - MaxFreshIdle);
}

std::unique_ptr<TargetConnection> ConnectionPool::takeIdleSince(const std::string &address,
                                                                std::string_view requestId,
                                                                core::TimePoint since)
{
    const core::Lock lock(m_mutex);
    auto &idle = m_idle[address];
    for (auto at = idle.size(); at > 0 && idle[at - 1]->idleSince >= since; --at) {
        const auto position = idle.begin() + static_cast<std::ptrdiff_t>(at - 1);
        if (!(*position)->carried.mayCarry(requestId)) {
            continue;
        }
        auto connection = std::move(*position);
        idle.erase(position);
        if (isOpenAndSilent(connection->socket)) {
            connection->reused = true;
            return connection;
        }
    }
    return make();
}

std::unique_ptr<TargetConnection> ConnectionPool::make()
{
    return std::make_unique<TargetConnection>(m_context, m_nextNumber++);
}

void ConnectionPool::give(const std::string &address, std::unique_ptr<TargetConnection> connection, core::TimePoint now)
{
    if (connection->carried.isFull()) {
        return;
    }
    connection->idleSince = now;
    const core::Lock lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < MaxIdlePerAddress) {
        idle.push_back(std::move(connection));
    }
}

void ConnectionPool::closeIdle(core::TimePoint now, core::Duration limit)
{
    const core::Lock lock(m_mutex);
    for (auto &[address, idle] : m_idle) {
        std::erase_if(idle, [now, limit](const auto &connection) {
            return now - connection->idleSince > limit;
        });
    }
    std::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

std::size_t ConnectionPool::idleCount() const
{
    const core::Lock lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[address, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace pimentoshed::http
