#include "http/loadprobe.h"

#include "http/address.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentoshed::http
{

namespace asio = boost::asio;
namespace message = boost::beast::http;
using boost::system::error_code;

namespace
{

/** A health answer is small; one that is not tells nothing. */
constexpr std::uint64_t MostAnswerBytes = 65536;

/** What the questions of one request share. Used on the strand of its coroutine. */
struct Round {
    Round(const asio::any_io_executor &strand, const ProtocolHooks &marks)
        : executor(strand)
        , marking(marks)
        , timer(strand)
    {
    }

    asio::any_io_executor executor;
    const ProtocolHooks &marking;
    asio::steady_timer timer;
    std::size_t running = 0;
    /** Whether the coroutine has gone on, so that nothing of it may be touched any more. */
    bool over = false;
};

/** One question. Lives until its last step has ended. */
class Question : public std::enable_shared_from_this<Question>
{
public:
    Question(std::shared_ptr<Round> round, std::unique_ptr<TargetConnection> connection, std::string bytes)
        : m_round(std::move(round))
        , m_connection(std::move(connection))
        , m_bytes(std::move(bytes))
    {
        m_answer.body_limit(MostAnswerBytes);
    }

    template<typename Handler>
    auto bound(Handler handler)
    {
        return asio::bind_executor(m_round->executor, std::move(handler));
    }

    void start(const asio::ip::tcp::endpoint &endpoint)
    {
        ++m_round->running;
        if (m_connection->reused) {
            write();
            return;
        }
        m_connection->socket.async_connect(endpoint, bound([self = shared_from_this()](const error_code &failure) {
                                               failure ? self->finish(false) : self->connected();
                                           }));
    }

    /** Gives the question up where it has not ended. */
    LoadProbeResult take()
    {
        error_code ignored;
        if (!m_ended) {
            m_connection->socket.close(ignored);
            return {};
        }
        m_look.failed = !m_look.load;
        return std::move(m_look);
    }

private:
    void connected()
    {
        error_code ignored;
        m_connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        write();
    }

    void write()
    {
        asio::async_write(m_connection->socket,
                          asio::buffer(m_bytes),
                          bound([self = shared_from_this()](const error_code &failure, std::size_t) {
                              failure ? self->finish(false) : self->read();
                          }));
    }

    void read()
    {
        message::async_read(m_connection->socket,
                            m_connection->buffer,
                            m_answer,
                            bound([self = shared_from_this()](const error_code &failure, std::size_t) {
                                self->finish(!failure);
                            }));
    }

    void finish(bool answered)
    {
        if (m_round->over) {
            return;
        }
        m_ended = true;
        if (answered) {
            m_look.load = m_round->marking.readLoad(m_answer.get());
            if (m_answer.keep_alive() && m_connection->buffer.size() == 0) {
                m_connection->reused = true;
                m_look.connection = std::move(m_connection);
            }
        }
        if (--m_round->running == 0) {
            m_round->timer.cancel();
        }
    }

    const std::shared_ptr<Round> m_round;
    std::unique_ptr<TargetConnection> m_connection;
    const std::string m_bytes;
    message::response_parser<message::string_body> m_answer;
    LoadProbeResult m_look;
    bool m_ended = false;
};

} // namespace

std::vector<LoadProbeResult> probeLoad(Exchange &exchange,
                                       ConnectionPool &pool,
                                       const std::vector<LoadProbeTarget> &targets,
                                       const LoadProbeOptions &terms)
{
    const auto round = std::make_shared<Round>(exchange.stream().get_executor(), terms.protocolHooks);
    std::vector<std::shared_ptr<Question>> questions;
    questions.reserve(targets.size());
    for (const auto &target : targets) {
        const auto endpoint = parseAddress(target.address);
        if (!core::ok(endpoint)) {
            questions.push_back(nullptr);
            continue;
        }
        questions.push_back(std::make_shared<Question>(
            round, pool.take(target.address), encode(terms.protocolHooks.makeLoadProbe(terms.path, target.id))));
        questions.back()->start(core::value(endpoint));
    }
    round->timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(terms.timeout));
    if (round->running > 0) {
        error_code cancelled;
        round->timer.async_wait(exchange.yield()[cancelled]);
    }
    round->over = true;
    std::vector<LoadProbeResult> looks;
    looks.reserve(questions.size());
    for (const auto &question : questions) {
        looks.push_back(question ? question->take() : LoadProbeResult{});
    }
    return looks;
}

} // namespace pimentoshed::http
