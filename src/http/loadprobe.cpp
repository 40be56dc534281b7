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

/** Responses to load probes are small; the probe fails if one is larger than this. */
constexpr std::uint64_t MaxAnswerBytes = 65536;

/** State shared by the probes of one probeLoad() call. Used on the strand of the exchange's coroutine. */
struct ProbeRound {
    ProbeRound(const asio::any_io_executor &strand, const ProtocolHooks &hooks)
        : executor(strand)
        , protocolHooks(hooks)
        , timer(strand)
    {
    }

    asio::any_io_executor executor;
    const ProtocolHooks &protocolHooks;
    asio::steady_timer timer;
    std::size_t pending = 0;
    /** Whether the coroutine has resumed, so that handlers must no longer touch what it owns. */
    bool isOver = false;
};

/** One probe. Kept alive by its pending operation. */
class Probe : public std::enable_shared_from_this<Probe>
{
public:
    Probe(std::shared_ptr<ProbeRound> round, std::unique_ptr<TargetConnection> connection, std::string bytes)
        : m_round(std::move(round))
        , m_connection(std::move(connection))
        , m_bytes(std::move(bytes))
    {
        m_answer.body_limit(MaxAnswerBytes);
    }

    template<typename Handler>
    auto onStrand(Handler handler)
    {
        return asio::bind_executor(m_round->executor, std::move(handler));
    }

    void start(const asio::ip::tcp::endpoint &endpoint)
    {
        ++m_round->pending;
        if (m_connection->reused) {
            write();
            return;
        }
        m_connection->socket.async_connect(endpoint, onStrand([self = shared_from_this()](const error_code &failure) {
                                               failure ? self->finish(false) : self->connected();
                                           }));
    }

    /** Returns the result, or cancels the probe if it has not ended. */
    LoadProbeResult take()
    {
        error_code ignored;
        if (!m_hasEnded) {
            m_connection->socket.close(ignored);
            return {};
        }
        m_result.failed = !m_result.signals;
        return std::move(m_result);
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
                          onStrand([self = shared_from_this()](const error_code &failure, std::size_t) {
                              failure ? self->finish(false) : self->readHeader();
                          }));
    }

    /**
     * Reads the head by itself: Beast checks a declared length against the limit only then, and otherwise reserves
     * memory for all of it.
     */
    void readHeader()
    {
        message::async_read_header(m_connection->socket,
                                   m_connection->buffer,
                                   m_answer,
                                   onStrand([self = shared_from_this()](const error_code &failure, std::size_t) {
                                       failure ? self->finish(false) : self->readBody();
                                   }));
    }

    void readBody()
    {
        if (m_answer.is_done()) {
            finish(true);
            return;
        }
        message::async_read(m_connection->socket,
                            m_connection->buffer,
                            m_answer,
                            onStrand([self = shared_from_this()](const error_code &failure, std::size_t) {
                                self->finish(!failure);
                            }));
    }

    void finish(bool answered)
    {
        if (m_round->isOver) {
            return;
        }
        m_hasEnded = true;
        if (answered && !answerFault(m_answer.get())) {
            m_result.signals = m_round->protocolHooks.readSignals(m_answer.get());
            // A response to another request may have taken the place of the probe's own, which may still follow.
            if (m_result.signals && m_answer.keep_alive() && m_connection->buffer.size() == 0) {
                m_connection->reused = true;
                m_result.connection = std::move(m_connection);
            }
        }
        if (--m_round->pending == 0) {
            m_round->timer.cancel();
        }
    }

    const std::shared_ptr<ProbeRound> m_round;
    std::unique_ptr<TargetConnection> m_connection;
    const std::string m_bytes;
    message::response_parser<message::string_body> m_answer;
    LoadProbeResult m_result;
    bool m_hasEnded = false;
};

} // namespace

std::vector<LoadProbeResult> probeLoad(Exchange &exchange,
                                       const Yield &yield,
                                       ConnectionPool &pool,
                                       const std::vector<LoadProbeTarget> &targets,
                                       const LoadProbeOptions &options)
{
    const auto round = std::make_shared<ProbeRound>(exchange.stream().get_executor(), options.protocolHooks);
    std::vector<std::shared_ptr<Probe>> probes;
    probes.reserve(targets.size());
    // The request may follow on the connection of its probe.
    const auto requestId = options.protocolHooks.requestId(exchange);
    for (const auto &target : targets) {
        const auto endpoint = parseAddress(target.address);
        if (!core::ok(endpoint)) {
            probes.push_back(nullptr);
            continue;
        }
        probes.push_back(std::make_shared<Probe>(round,
                                                 pool.take(target.address, requestId),
                                                 encode(options.protocolHooks.makeLoadProbe(options.path, target.id))));
        probes.back()->start(core::value(endpoint));
    }
    round->timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(options.timeout));
    if (round->pending > 0) {
        error_code cancelled;
        round->timer.async_wait(yield[cancelled]);
    }
    round->isOver = true;
    std::vector<LoadProbeResult> results;
    results.reserve(probes.size());
    for (const auto &probe : probes) {
        results.push_back(probe ? probe->take() : LoadProbeResult{});
    }
    return results;
}

} // namespace pimentoshed::http
