#include "soak/callers.h"

#include "http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace pimentoshed::soak
{

namespace beast = boost::beast;
namespace message = boost::beast::http;
using namespace std::chrono_literals;

namespace
{

/** Longer than the deadline of any request. */
constexpr auto CallerTimeout = 8s;
/** Pause between two requests of a caller. */
constexpr auto Pause = 20ms;
constexpr std::size_t MaxBodyBytes = 2000;
/** A caller gives up a connection after this many requests. */
constexpr unsigned RequestsPerConnection = 50;

/** What came back for one request. */
struct Reply {
    /** Empty if the whole response was read. */
    std::string failure;
    unsigned status = 0;
    std::string runState;
    std::string body;
    bool keepAlive = false;
    bool timedOut = false;
};

/** A connection to one address that serves several requests. */
class KeptConnection
{
public:
    explicit KeptConnection(const std::string &address)
        : m_address(address)
        , m_stream(m_context)
    {
    }

    const std::string &address() const
    {
        return m_address;
    }

    bool isNew() const
    {
        return m_served == 0;
    }

    bool isUsedUp() const
    {
        return m_served >= RequestsPerConnection;
    }

    Reply send(const message::request<message::string_body> &request)
    {
        m_stream.expires_after(CallerTimeout);
        beast::error_code failure;
        message::response<message::string_body> response;
        const auto onRead = [&failure](const beast::error_code &code, std::size_t) {
            failure = code;
        };
        const auto onWritten = [&](const beast::error_code &code, std::size_t) {
            failure = code;
            if (!code) {
                message::async_read(m_stream, m_buffer, response, onRead);
            }
        };
        const auto onConnected = [&](const beast::error_code &code) {
            failure = code;
            if (!code) {
                message::async_write(m_stream, request, onWritten);
            }
        };
        if (isNew()) {
            m_stream.async_connect(core::value(http::parseAddress(m_address)), onConnected);
        } else {
            onConnected({});
        }
        m_context.restart();
        m_context.run();
        Reply reply;
        reply.timedOut = failure == beast::error::timeout;
        if (failure) {
            reply.failure = failure.message();
            return reply;
        }
        ++m_served;
        reply.status = response.result_int();
        reply.runState = std::string(response["Pimentoshed-Run"]);
        reply.body = std::move(response.body());
        reply.keepAlive = response.keep_alive();
        return reply;
    }

private:
    const std::string m_address;
    boost::asio::io_context m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    unsigned m_served = 0;
};

Outcome outcomeOf(const Reply &reply, const std::string &expectedBody, bool wasNew)
{
    if (reply.timedOut) {
        return Outcome::Failed;
    }
    if (!reply.failure.empty()) {
        return wasNew ? Outcome::Cut : Outcome::KeptConnectionClosed;
    }
    if (reply.status == 200) {
        return reply.body == expectedBody ? Outcome::Answered : Outcome::Wrong;
    }
    return reply.runState == "not-run" ? Outcome::RefusedAsNotRun : Outcome::Failed;
}

/** One caller. */
class Caller
{
public:
    Caller(const Fleet &fleet, unsigned number, core::RandomSource random)
        : m_fleet(fleet)
        , m_number(number)
        , m_random(std::move(random))
    {
    }

    /** Sends one request and returns its record; nothing if no address is known. */
    std::optional<CallerRequest> call()
    {
        refreshAddresses();
        if (m_addresses.empty()) {
            return std::nullopt;
        }
        if (!m_connection || m_connection->isUsedUp()) {
            const auto &address = m_addresses[core::randomBelow(m_random, m_addresses.size())];
            m_entry = m_fleet.entryOf(address);
            m_connection.emplace(m_fleet.callerAddress(m_entry));
        }
        CallerRequest record;
        record.isIdempotent = core::randomBelow(m_random, 2) == 0;
        record.path = fmt::format("/{}/{}-{}", record.isIdempotent ? "catalogue" : "loans", m_number, ++m_count);
        record.entryHost = m_fleet.entryName(m_entry);
        const auto request = makeRequest(record);
        const bool wasNew = m_connection->isNew();
        record.time.from = core::steadyNow();
        const auto reply = m_connection->send(request);
        record.time.until = core::steadyNow();
        record.outcome = outcomeOf(
            reply, fmt::format("{} {} {}", std::string(request.method_string()), record.path, request.body()), wasNew);
        record.detail =
            reply.failure.empty() ? fmt::format("{} {}", reply.status, reply.body.substr(0, 80)) : reply.failure;
        if (!reply.failure.empty() || !reply.keepAlive) {
            m_connection.reset();
        }
        if (record.outcome != Outcome::Answered) {
            m_keepUntil = {};
        }
        return record;
    }

private:
    message::request<message::string_body> makeRequest(const CallerRequest &record)
    {
        message::request<message::string_body> request;
        request.version(11);
        request.method(record.isIdempotent ? message::verb::get : message::verb::post);
        request.target(record.path);
        request.set(message::field::host, m_connection->address());
        if (!record.isIdempotent) {
            request.set("Idempotency-Key", record.path);
            request.body() = std::string(1 + core::randomBelow(m_random, MaxBodyBytes), 'b');
        }
        request.prepare_payload();
        return request;
    }

    void refreshAddresses()
    {
        if (core::steadyNow() < m_keepUntil) {
            return;
        }
        const auto entry = static_cast<unsigned>(core::randomBelow(m_random, m_fleet.size().entry));
        const auto domain = DomainNames.at(m_number % DomainNames.size());
        const auto answer =
            http::fetch(m_fleet.callerAddress(entry),
                        {"GET", fmt::format("/pimentoshed/v1/addresses?failure_domain={}", domain), {}, {}},
                        1s);
        if (!core::ok(answer) || core::value(answer).status != 200) {
            return;
        }
        const auto body = nlohmann::json::parse(core::value(answer).body, nullptr, false);
        if (body.is_object() && body.contains("addresses") && !body["addresses"].empty()) {
            m_addresses = body["addresses"].get<std::vector<std::string>>();
            m_keepUntil = core::steadyNow() + std::chrono::milliseconds(body["keep_ms"].get<int>());
        }
    }

    const Fleet &m_fleet;
    const unsigned m_number;
    const core::RandomSource m_random;
    std::vector<std::string> m_addresses;
    core::TimePoint m_keepUntil{};
    std::optional<KeptConnection> m_connection;
    unsigned m_entry = 0;
    unsigned m_count = 0;
};

} // namespace

Callers::Callers(const Fleet &fleet, unsigned count, std::uint64_t seed)
    : m_fleet(fleet)
{
    for (unsigned i = 0; i < count; ++i) {
        m_threads.emplace_back([this, i, seed]() {
            run(i, core::seededRandom(seed * 1000 + i));
        });
    }
}

Callers::~Callers()
{
    stop();
}

void Callers::stop()
{
    m_isStopping = true;
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::vector<CallerRequest> Callers::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void Callers::run(unsigned number, const core::RandomSource &random)
{
    Caller caller(m_fleet, number, random);
    while (!m_isStopping) {
        if (auto request = caller.call()) {
            record(std::move(*request));
        }
        std::this_thread::sleep_for(Pause);
    }
}

void Callers::record(CallerRequest request)
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(std::move(request));
}

} // namespace pimentoshed::soak
