#include "soak/callers.h"

#include "http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <functional>
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
constexpr std::size_t MinPipelined = 2;
constexpr std::size_t MaxPipelined = 5;
/** Longer than a request takes, so that the first of a batch may be answered before the others are sent. */
constexpr unsigned MaxPipelineGapMs = 20;
constexpr unsigned MaxLingeringPauseMs = 1500;
/** A lingering caller gives a closed connection up after this many more requests. */
constexpr unsigned MaxSentBehindClose = 10;

using Request = message::request<message::string_body>;

/** What came back for one request. */
struct Reply {
    /** Empty if the whole response was read. */
    std::string failure;
    unsigned status = 0;
    std::string runState;
    std::string body;
    bool timedOut = false;
    /** Whether an earlier response on the connection closed it. */
    bool isBehindClose = false;
    Interval time;
};

/** A connection to one address that serves several requests. */
class KeptConnection
{
public:
    explicit KeptConnection(std::string address)
        : m_address(std::move(address))
        , m_stream(m_context)
        , m_gap(m_context)
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

    /** Whether a response has closed the connection. */
    bool isClosing() const
    {
        return m_isClosing;
    }

    /** Whether a request has got no response. */
    bool hasFailed() const
    {
        return bool(m_failure);
    }

    /** How many requests were sent behind a response that closed the connection. */
    unsigned sentBehindClose() const
    {
        return m_sentBehindClose;
    }

    /** Sends the first of @p requests, and the others @p gap later without waiting for its response. */
    std::vector<Reply> send(const std::vector<Request> &requests, std::chrono::milliseconds gap = {})
    {
        m_replies.assign(requests.size(), {});
        m_stream.expires_after(CallerTimeout);
        if (isNew() && !hasFailed()) {
            m_stream.async_connect(core::value(http::parseAddress(m_address)),
                                   [this, &requests, gap](const beast::error_code &failure) {
                                       m_failure = failure;
                                       write(requests, gap, 0);
                                   });
        } else {
            write(requests, gap, 0);
        }
        m_context.restart();
        m_context.run();
        for (auto &reply : m_replies) {
            m_sentBehindClose += reply.isBehindClose ? 1 : 0;
        }
        return std::move(m_replies);
    }

private:
    void write(const std::vector<Request> &requests, std::chrono::milliseconds gap, std::size_t number)
    {
        if (number == requests.size()) {
            read(0);
            return;
        }
        m_replies[number].time.from = core::steadyNow();
        // If this fails, responses that arrived before can still be read, so that only the read's failure counts.
        message::async_write(
            m_stream, requests[number], [this, &requests, gap, number](const beast::error_code &, std::size_t) {
                m_gap.expires_after(number == 0 && requests.size() > 1 ? gap : 0ms);
                m_gap.async_wait([this, &requests, gap, number](const beast::error_code &) {
                    write(requests, gap, number + 1);
                });
            });
    }

    /** Reads the responses from the one of request @p number on. */
    void read(std::size_t number)
    {
        if (number == m_replies.size()) {
            return;
        }
        m_replies[number].isBehindClose = m_isClosing;
        if (m_failure || m_isClosing) {
            finish(number);
            return;
        }
        m_response = {};
        message::async_read(
            m_stream, m_buffer, m_response, [this, number](const beast::error_code &failure, std::size_t) {
                m_failure = failure;
                finish(number);
            });
    }

    void finish(std::size_t number)
    {
        auto &reply = m_replies[number];
        reply.time.until = core::steadyNow();
        reply.timedOut = m_failure == beast::error::timeout;
        if (m_failure || reply.isBehindClose) {
            reply.failure = m_failure ? m_failure.message() : "not answered";
        } else {
            ++m_served;
            reply.status = m_response.result_int();
            reply.runState = std::string(m_response["Pimentoshed-Run"]);
            reply.body = std::move(m_response.body());
            m_isClosing = !m_response.keep_alive();
        }
        read(number + 1);
    }

    const std::string m_address;
    boost::asio::io_context m_context;
    beast::tcp_stream m_stream;
    boost::asio::steady_timer m_gap;
    beast::flat_buffer m_buffer;
    message::response<message::string_body> m_response;
    std::vector<Reply> m_replies;
    beast::error_code m_failure;
    bool m_isClosing = false;
    unsigned m_served = 0;
    unsigned m_sentBehindClose = 0;
};

Outcome outcomeOf(const Reply &reply, const std::string &expectedBody, bool wasNew)
{
    if (reply.isBehindClose) {
        return Outcome::BehindClose;
    }
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

/** How a caller uses its connections, and how long it pauses between requests. */
struct Habit {
    /** Requests that are sent before the first of them is answered. */
    std::function<std::size_t(const core::RandomSource &)> batchSize;
    std::function<std::chrono::milliseconds(const core::RandomSource &)> pause;
    /** Whether to keep @p connection for the next request; @p isHostGone: its host's process has ended. */
    std::function<bool(const KeptConnection &connection, bool isHostGone)> keeps;
};

Habit habitOf(CallerHabit habit)
{
    const auto one = [](const core::RandomSource &) {
        return std::size_t{1};
    };
    const auto shortPause = [](const core::RandomSource &) {
        return std::chrono::milliseconds(Pause);
    };
    const auto keepsOpen = [](const KeptConnection &connection, bool) {
        return !connection.hasFailed() && !connection.isClosing() && !connection.isUsedUp();
    };
    switch (habit) {
    case CallerHabit::OneByOne:
        break;
    case CallerHabit::Pipelining:
        return {[](const core::RandomSource &random) {
                    return MinPipelined + core::randomBelow(random, MaxPipelined - MinPipelined + 1);
                },
                shortPause,
                keepsOpen};
    case CallerHabit::Lingering:
        return {one,
                [](const core::RandomSource &random) {
                    return std::chrono::milliseconds(core::randomBelow(random, MaxLingeringPauseMs));
                },
                [](const KeptConnection &connection, bool isHostGone) {
                    const bool isClosed = connection.hasFailed() || connection.isClosing();
                    return !isClosed
                           || (connection.isClosing() && !isHostGone
                               && connection.sentBehindClose() < MaxSentBehindClose);
                }};
    }
    return {one, shortPause, keepsOpen};
}

/** One caller. */
class Caller
{
public:
    Caller(const Fleet &fleet, unsigned number, CallerHabit habit, core::RandomSource random)
        : m_fleet(fleet)
        , m_number(number)
        , m_habit(habitOf(habit))
        , m_random(std::move(random))
    {
    }

    std::chrono::milliseconds pause() const
    {
        return m_habit.pause(m_random);
    }

    /** Sends one request, or several at once, and returns their records; none if no address is known. */
    std::vector<CallerRequest> call()
    {
        refreshAddresses();
        if (m_addresses.empty()) {
            return {};
        }
        if (m_connection && !m_habit.keeps(*m_connection, m_fleet.processOf(entryName()) != m_hostStarts)) {
            m_connection.reset();
        }
        if (!m_connection) {
            const auto &address = m_addresses[core::randomBelow(m_random, m_addresses.size())];
            m_entry = m_fleet.entryOf(address);
            m_hostStarts = m_fleet.processOf(entryName());
            m_connection.emplace(m_fleet.callerAddress(m_entry));
        }
        const auto count = m_habit.batchSize(m_random);
        std::vector<CallerRequest> records;
        std::vector<Request> requests;
        for (std::size_t i = 0; i < count; ++i) {
            records.push_back(nextRecord(count > 1));
            requests.push_back(makeRequest(records.back()));
        }
        const bool wasNew = m_connection->isNew();
        const auto gap = std::chrono::milliseconds(count > 1 ? core::randomBelow(m_random, MaxPipelineGapMs) : 0);
        const auto replies = m_connection->send(requests, gap);
        for (std::size_t i = 0; i < count; ++i) {
            complete(records[i], requests[i], replies[i], wasNew && i == 0);
        }
        return records;
    }

private:
    std::string entryName() const
    {
        return m_fleet.entryName(m_entry);
    }

    CallerRequest nextRecord(bool isPipelined)
    {
        CallerRequest record;
        record.isIdempotent = isPipelined || core::randomBelow(m_random, 2) == 0;
        record.path = fmt::format("/{}/{}-{}", record.isIdempotent ? "catalogue" : "loans", m_number, ++m_count);
        record.entryHost = entryName();
        return record;
    }

    void complete(CallerRequest &record, const Request &request, const Reply &reply, bool wasNew)
    {
        record.time = reply.time;
        record.outcome = outcomeOf(
            reply, fmt::format("{} {} {}", std::string(request.method_string()), record.path, request.body()), wasNew);
        record.detail =
            reply.failure.empty() ? fmt::format("{} {}", reply.status, reply.body.substr(0, 80)) : reply.failure;
        if (record.outcome != Outcome::Answered) {
            m_keepUntil = {};
        }
    }

    Request makeRequest(const CallerRequest &record)
    {
        Request request;
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
    const Habit m_habit;
    const core::RandomSource m_random;
    std::vector<std::string> m_addresses;
    core::TimePoint m_keepUntil{};
    std::optional<KeptConnection> m_connection;
    unsigned m_entry = 0;
    /** Number of starts of the entry host's process when the connection was made. */
    int m_hostStarts = 0;
    unsigned m_count = 0;
};

} // namespace

Callers::Callers(const Fleet &fleet, unsigned count, std::uint64_t seed)
    : m_fleet(fleet)
{
    for (unsigned i = 0; i < count; ++i) {
        start(i, CallerHabit::OneByOne, seed);
    }
    for (unsigned i = 0; i < count; ++i) {
        start(count + i, i % 2 == 0 ? CallerHabit::Pipelining : CallerHabit::Lingering, seed);
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

void Callers::start(unsigned number, CallerHabit habit, std::uint64_t seed)
{
    m_threads.emplace_back([this, number, habit, seed]() {
        run(number, habit, core::seededRandom(seed * 1000 + number));
    });
}

void Callers::run(unsigned number, CallerHabit habit, const core::RandomSource &random)
{
    Caller caller(m_fleet, number, habit, random);
    while (!m_isStopping) {
        record(caller.call());
        std::this_thread::sleep_for(caller.pause());
    }
}

void Callers::record(std::vector<CallerRequest> requests)
{
    const std::lock_guard lock(m_mutex);
    for (auto &request : requests) {
        m_requests.push_back(std::move(request));
    }
}

} // namespace pimentoshed::soak
