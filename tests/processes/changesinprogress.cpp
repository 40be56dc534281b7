#include "processes/platformfleet.h"

#include "http/address.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

constexpr const char *Next = "loans-next";

http::Reply respond(const ReceivedRequest & /*request*/)
{
    return {};
}

using Answers = std::vector<core::Result<http::ClientAnswer>>;

std::vector<unsigned> statusesOf(const Answers &answers)
{
    std::vector<unsigned> statuses;
    for (const auto &answer : answers) {
        statuses.push_back(core::ok(answer) ? core::value(answer).status : 0);
    }
    return statuses;
}

/** Requests that are sent at once, reads and writes in turn, each by a thread of its own. */
class Callers
{
public:
    Callers(const PlatformFleet &fleet, std::size_t count, unsigned entry = 0)
        : m_answers(count, core::Error{})
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_threads.emplace_back([&fleet, &answer = m_answers[i], i, entry]() {
                answer = fleet.request(entry, i % 2 == 0 ? "GET" : "POST");
            });
        }
    }

    const Answers &await()
    {
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        return m_answers;
    }

private:
    Answers m_answers;
    std::vector<std::thread> m_threads;
};

/** A configuration with the route "reads" to @p service, its timeout, and the limit of bodies. */
std::string narrowed(unsigned version, const std::string &service, unsigned timeoutMs, unsigned maxBodyBytes)
{
    constexpr auto Format = R"({{"version":"{0:08x}","base_version":"{1:08x}",
    "routes":{{"reads":{{"hostname":"loans.example","path_prefix":"/a/","kind":"safe","timeout":"{3}ms",
                       "slo":"{3}ms","priority":3,"service":"{2}","attempts":1}}}},
    "services":{{"{2}":{{"health_path":"/health","max_conns":1,"cold":"3s","cold_per_s":1.0}}}},
    "limits":{{"max_header_bytes":1024,"max_body_bytes":{4},"header_timeout":"10ms","idle_timeout":"10ms"}}}})";
    return fmt::format(Format, version, version - 1, service, timeoutMs, maxBodyBytes);
}

unsigned order(const PlatformFleet &fleet,
               const std::string &method,
               const std::string &path,
               const std::string &body = {})
{
    const auto answer = sendRequest(fleet.controlAddress(), path, method, body);
    return core::ok(answer) ? core::value(answer).status : 0;
}

bool isAccepted(unsigned status)
{
    return status >= 200 && status < 300;
}

/** A planned change while requests are with @p target; counts up @p version for each configuration that it applies. */
struct Change {
    const char *name;
    /** Returns whether the change was accepted. */
    std::function<bool(const PlatformFleet &fleet, PlatformTarget &target, unsigned &version)> apply;
};

const std::vector<Change> &changes()
{
    static const std::vector<Change> all{
        {"the route moves and its service is dropped",
         [](const auto &fleet, auto &, unsigned &version) {
             return fleet.configure(++version, Next) == 200;
         }},
        {"a route is dropped, the timeout and all limits are reduced",
         [](const auto &fleet, auto &, unsigned &version) {
             return order(fleet, "PUT", "/config", narrowed(++version, PlatformTarget::DefaultService, 50, 1)) == 200;
         }},
        {"many configurations in quick succession",
         [](const auto &fleet, auto &, unsigned &version) {
             bool isAccepted = true;
             for (unsigned i = 0; i < 10; ++i) {
                 const auto *service = i % 2 == 0 ? Next : PlatformTarget::DefaultService;
                 isAccepted = fleet.configure(++version, service) == 200 && isAccepted;
             }
             return isAccepted;
         }},
        {"the failure domain is evacuated",
         [](const auto &fleet, auto &, unsigned &) {
             return isAccepted(order(fleet, "POST", "/evacuate/ravne"));
         }},
        {"the target drains and is removed",
         [](const auto &fleet, auto &target, unsigned &) {
             const bool isDraining = target.announce(fleet.controlAddress(), "draining") == 200;
             return isAccepted(target.remove(fleet.controlAddress())) && isDraining;
         }},
    };
    return all;
}

/** Waits until @p target has received @p count requests. Returns whether that happened within 1 s. */
bool awaitRequests(const PlatformTarget &target, std::size_t count)
{
    return eventually(
        [&target, count]() {
            return target.requests().size() >= count;
        },
        1s);
}

/** A caller that sends its request in pieces. */
class SlowCaller
{
public:
    explicit SlowCaller(const std::string &address)
        : m_socket(m_context)
    {
        m_socket.connect(core::value(http::parseAddress(address)));
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    /** The status line of the response; empty if the connection ends without one. */
    std::string statusLine()
    {
        std::string line;
        boost::system::error_code failure;
        const auto length = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(line), "\r\n", failure);
        return line.substr(0, length);
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace

// Guards against requests in progress that planned changes cut, or answer in place of their target.
TEST_CASE("requests at a target are answered by it, whatever change of configuration or targets comes meanwhile")
{
    constexpr std::size_t Requests = 4;
    PlatformFleet fleet(163, 1, 4s);
    PlatformTarget target("i-slow", fleet.targetAddress(0), 350ms, respond);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    unsigned version = 1;
    for (const auto &change : changes()) {
        CAPTURE(change.name);
        REQUIRE(fleet.waitUntilServing());
        const auto before = target.requests().size();
        Callers callers(fleet, Requests);
        CHECK(awaitRequests(target, before + Requests));
        CHECK(change.apply(fleet, target, version));
        CHECK(statusesOf(callers.await()) == std::vector<unsigned>(Requests, 200));
        CHECK(target.requests().size() == before + Requests);
        REQUIRE(isAccepted(order(fleet, "DELETE", "/evacuate/ravne")));
        REQUIRE(fleet.configure(++version, PlatformTarget::DefaultService) == 200);
    }
}

// Guards against requests that a change of configuration finds in the queue or in a probe, and that are then refused
// with 404 or never answered.
TEST_CASE("requests that wait for full targets, or for their load, are served by the service that their route moves to")
{
    const auto probeTime = GENERATE(0ms, 20ms);
    constexpr std::size_t Requests = 12;
    PlatformFleet fleet(164, 1, 3s);
    std::atomic<bool> isFull{false};
    PlatformTarget former(
        "i-former",
        fleet.targetAddress(0),
        1ms,
        [&isFull](const ReceivedRequest &) {
            http::Reply reply;
            reply.headers.emplace_back("X-Load", isFull ? "6,6,6,100" : "0,0,6,100");
            return reply;
        },
        probeTime);
    PlatformTarget next("i-next", fleet.targetAddress(1), 1ms, respond, probeTime);
    next.setService(Next);
    REQUIRE(former.announce(fleet.controlAddress()) == 200);
    REQUIRE(next.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    isFull = true;
    const auto before = former.requests().size();
    Callers callers(fleet, Requests);
    std::this_thread::sleep_for(100ms);
    CHECK(fleet.configure(2, Next) == 200);
    CHECK(statusesOf(callers.await()) == std::vector<unsigned>(Requests, 200));
    CHECK(former.requests().size() == before);
}

// Guards against requests that are lost because their body arrives while their route moves.
TEST_CASE("a request whose body is half received while its route moves is served by the new service")
{
    PlatformFleet fleet(165, 1, 4s);
    PlatformTarget former("i-former", fleet.targetAddress(0), 1ms, respond);
    PlatformTarget next("i-next", fleet.targetAddress(1), 1ms, respond);
    next.setService(Next);
    REQUIRE(former.announce(fleet.controlAddress()) == 200);
    REQUIRE(next.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    SlowCaller withLength(fleet.callerAddress(0));
    SlowCaller withChunks(fleet.callerAddress(0));
    const std::string head = "POST /b/x HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 4000\r\n";
    withLength.send(fmt::format(fmt::runtime(head), "length") + "Content-Length: 8\r\n\r\nabcd");
    withChunks.send(fmt::format(fmt::runtime(head), "chunks") + "Transfer-Encoding: chunked\r\n\r\n8\r\nabcd");
    CHECK(fleet.configure(2, Next) == 200);
    std::this_thread::sleep_for(300ms);
    withLength.send("efgh");
    withChunks.send("efgh\r\n0\r\n\r\n");
    CHECK(withLength.statusLine() == "HTTP/1.1 200 OK\r\n");
    CHECK(withChunks.statusLine() == "HTTP/1.1 200 OK\r\n");
    CHECK(next.requests().size() == 2);
}

// Guards against requests that are cut or refused because the entry host's feed ends.
TEST_CASE("entry hosts serve all requests while every control host stops")
{
    constexpr unsigned Controls = 3;
    PlatformFleet fleet(166, 2, 2s, Controls);
    PlatformTarget target("i-fast", fleet.targetAddress(0), 50ms, respond);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    std::thread stops([&fleet]() {
        for (unsigned i = 0; i < Controls; ++i) {
            std::this_thread::sleep_for(300ms);
            fleet.control(i).signal(SIGTERM);
        }
    });
    const auto statuses = statusesOf(fleet.load(30, 1500ms));
    stops.join();
    CHECK(std::count(statuses.begin(), statuses.end(), 200U) == static_cast<long>(statuses.size()));
    for (unsigned i = 0; i < Controls; ++i) {
        CHECK(fleet.control(i).wait() == 0);
    }
}

// Guards against requests in progress that are lost when several hosts stop beside changes of the configuration.
TEST_CASE("no request in progress is cut while two entry hosts stop in turn and are stopped again, beside changes")
{
    constexpr std::size_t Requests = 6;
    PlatformFleet fleet(167, 2, 2s);
    PlatformTarget target("i-slow", fleet.targetAddress(0), 300ms, respond);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    std::atomic<bool> isOver{false};
    std::thread operators([&]() {
        unsigned version = 1;
        while (!isOver) {
            fleet.configure(++version, PlatformTarget::DefaultService);
            order(fleet, "POST", "/evacuate/dravograd");
            order(fleet, "DELETE", "/evacuate/dravograd");
            std::this_thread::sleep_for(20ms);
        }
    });
    for (unsigned round = 0; round < 2; ++round) {
        CAPTURE(round);
        const auto before = target.requests().size();
        Callers callers(fleet, Requests, round);
        CHECK(awaitRequests(target, before + Requests));
        fleet.entry(round).signal(SIGTERM);
        fleet.entry(round).signal(SIGTERM);
        CHECK(statusesOf(callers.await()) == std::vector<unsigned>(Requests, 200));
        fleet.restartEntry(round);
        REQUIRE(fleet.waitUntilServing());
    }
    isOver = true;
    operators.join();
}
