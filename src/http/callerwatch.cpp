#include "http/callerwatch.h"

#include <boost/asio/bind_executor.hpp>
#include <utility>

namespace pimentoshed::http
{

namespace asio = boost::asio;

CallerWatch::CallerWatch(Exchange &exchange, std::function<void()> onLeft)
    : m_exchange(exchange)
    , m_onLeft(std::move(onLeft))
{
}

CallerWatch::~CallerWatch()
{
    if (m_watching) {
        *m_watching = false;
    }
}

void CallerWatch::start()
{
    if (m_watching && *m_watching) {
        return;
    }
    m_watching = std::make_shared<bool>(true);
    await();
}

void CallerWatch::stop()
{
    if (m_watching && std::exchange(*m_watching, false)) {
        boost::system::error_code ignored;
        m_exchange.stream().socket().cancel(ignored);
    }
}

void CallerWatch::await()
{
    const auto onReadable = [this, watching = m_watching](const boost::system::error_code &failure) {
        if (failure || !*watching) {
            return;
        }
        const auto state = m_exchange.readAvailable();
        if (state == CallerConnectionState::Closed) {
            *watching = false;
            m_onLeft();
        } else if (state == CallerConnectionState::Open) {
            await();
        }
    };
    m_exchange.stream().socket().async_wait(asio::socket_base::wait_read,
                                            asio::bind_executor(m_exchange.stream().get_executor(), onReadable));
}

} // namespace pimentoshed::http
