#include "http/server.h"

#include "core/random.h"
#include "http/fakes.h"
#include "http/jsonreply.h"

#include <array>
#include <catch2/catch.hpp>
#include <future>
#include <nlohmann/json.hpp>

using namespace pimentoshed;
using namespace pimentoshed::http;
using namespace pimentoshed::http::fakes;
using std::chrono::milliseconds;

namespace
{

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/** A server that responds to each request with the request's body after a pause. */
class EchoServer
{
    // Declared first, so that the server is destroyed before its worker threads.
    core::WorkerPool m_pool;

public:
    explicit EchoServer(ServerLimits limits = {})
        : m_pool(2)
    {
        auto made = Server::Builder(m_pool.context())
                        .address("127.0.0.1:0")
                        .limits(limits)
                        .handler([this](Exchange &exchange) {
                            answer(exchange);
                        })
                        .start();
        REQUIRE(core::ok(made));
        server = core::value(made);
    }

    ~EchoServer()
    {
        std::promise<void> done;
        server->drain([&done]() {
            done.set_value();
        });
        done.get_future().wait_for(std::chrono::seconds(8));
        m_pool.stop();
    }

    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    RawSocket caller() const
    {
        return RawSocket::connect(server->address());
    }

    std::shared_ptr<Server> server;
    std::atomic<unsigned> pauseMillis{0};
    /** Bytes that each response's body has in addition. */
    std::atomic<std::size_t> paddingBytes{0};

private:
    void answer(Exchange &exchange)
    {
        constexpr std::uint64_t BodyBytes = 4096;
        const auto body = exchange.readBody(BodyBytes);
        boost::asio::steady_timer timer(m_pool.context(), milliseconds(pauseMillis));
        boost::system::error_code ignored;
        timer.async_wait(exchange.yield()[ignored]);
        Reply reply;
        reply.body = core::ok(body) ? core::value(body) : core::describe(core::error(body));
        reply.body.append(paddingBytes, 'x');
        exchange.send(reply);
    }
};

constexpr std::array MalformedRequests{
    "nonsense\r\n\r\n",
    "GET /a HTTP/2.0\r\nHost: x\r\n\r\n",
    "GET /a HTTP/1.1\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost : x\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: x\r\n\x01: y\r\n\r\n",
};

} // namespace

TEST_CASE("malformed requests, also with ambiguous framing, are refused as not run and end the connection")
{
    EchoServer echo;
    for (const std::string request : MalformedRequests) {
        INFO(request);
        auto caller = echo.caller();
        caller.write(request + Get);
        caller.closeSending();
        const auto answer = caller.readAll();
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(answer.find("Pimentoshed-Run: not-run") != std::string::npos);
        CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    }
}

TEST_CASE("mutated requests neither crash nor stop the server")
{
    const auto random = core::seededRandom(20260801);
    const std::string whole = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                              "Expect: 100-continue\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    EchoServer echo;
    for (int round = 0; round < 300; ++round) {
        auto bytes = whole;
        for (std::size_t changes = 1 + core::randomBelow(random, 3); changes > 0; --changes) {
            bytes[core::randomBelow(random, bytes.size())] = static_cast<char>(core::randomBelow(random, 256));
        }
        auto caller = echo.caller();
        caller.write(bytes);
        caller.closeSending();
        caller.readAll();
    }
    auto caller = echo.caller();
    caller.write(Get);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("connections with too large, too slow or no request heads are closed")
{
    ServerLimits limits;
    limits.headerBytes = 1024;
    limits.headerTimeout = milliseconds(100);
    limits.idleTimeout = milliseconds(100);
    EchoServer echo(limits);
    auto large = echo.caller();
    large.write("GET /a HTTP/1.1\r\nHost: x\r\nX-Large: " + std::string(2000, 'a') + "\r\n\r\n");
    CHECK(large.readAll().starts_with("HTTP/1.1 400"));
    auto slow = echo.caller();
    slow.write("GET /a HTTP/1.1\r\nHo");
    CHECK(slow.readAll().empty());
    auto idle = echo.caller();
    CHECK(idle.readAll().empty());
}

TEST_CASE("a response to HEAD has no body")
{
    EchoServer echo;
    auto caller = echo.caller();
    caller.write("HEAD /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab" + Get);
    CHECK(caller.readUntil("\r\n\r\n").find("Content-Length: 2") != std::string::npos);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("drain() closes idle connections, completes requests in progress and then calls its hook")
{
    EchoServer echo;
    auto idle = echo.caller();
    idle.write(Get);
    idle.readUntil("\r\n\r\n");
    echo.pauseMillis = 300;
    auto busy = echo.caller();
    busy.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na");
    std::this_thread::sleep_for(milliseconds(50));
    const auto done = std::make_shared<std::promise<void>>();
    auto ended = done->get_future();
    echo.server->drain([done]() {
        done->set_value();
    });
    CHECK(idle.readAll().empty());
    CHECK(ended.wait_for(milliseconds(50)) == std::future_status::timeout);
    busy.write("b");
    CHECK(busy.readAll().ends_with("\r\n\r\nab"));
    CHECK(ended.wait_for(milliseconds(2000)) == std::future_status::ready);
    CHECK(echo.server->inProgress() == 0);
}

TEST_CASE("after closeAfterAnswers() each response has Connection: close and connections are still accepted")
{
    EchoServer echo;
    echo.server->closeAfterAnswers();
    for (int i = 0; i < 2; ++i) {
        auto caller = echo.caller();
        caller.write(Get);
        const auto answer = caller.readAll();
        CHECK(answer.find("Connection: close") != std::string::npos);
    }
}

// Guards against a connection that looks as if it could be kept, and whose last answer a further request then resets.
TEST_CASE("the response to a request that arrived before closeAfterAnswers() closes its connection too")
{
    EchoServer echo;
    echo.pauseMillis = 300;
    echo.paddingBytes = 300'000;
    auto caller = echo.caller();
    caller.write(Get);
    std::this_thread::sleep_for(milliseconds(100));
    echo.server->closeAfterAnswers();
    std::this_thread::sleep_for(milliseconds(500));
    echo.server->drain();
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(caller.write(Get));
    const auto answer = caller.readAll();
    CHECK_FALSE(caller.wasReset());
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.size() == answer.find("\r\n\r\n") + 4 + echo.paddingBytes);
}

// Guards against closing a connection with unread requests behind the answered one, which resets it.
TEST_CASE("a response that closes the connection arrives whole although further requests arrive behind it")
{
    EchoServer echo;
    echo.server->closeAfterAnswers();
    for (const std::size_t bytes : {1'500UL, 300'000UL, 4'000'000UL}) {
        echo.paddingBytes = bytes;
        auto caller = echo.caller();
        caller.write(Get);
        // Time for the server to answer, and to close the connection if it does so at once.
        std::this_thread::sleep_for(milliseconds(100));
        CAPTURE(bytes);
        CHECK(caller.write(Get + Get));
        std::this_thread::sleep_for(milliseconds(50));
        CHECK(caller.write(Get));
        const auto answer = caller.readAll();
        CHECK_FALSE(caller.wasReset());
        CHECK(answer.size() == answer.find("\r\n\r\n") + 4 + bytes);
        CHECK(answer.find("Connection: close") != std::string::npos);
    }
}

TEST_CASE("connections may end while drain() iterates over them")
{
    // drain() may hold the last reference to a connection. Releasing it under the server's mutex locked a second mutex
    // of the same rank, against the lock order.
    constexpr int Rounds = 30;
    constexpr int Callers = 200;
    for (int round = 0; round < Rounds; ++round) {
        const EchoServer echo;
        std::vector<RawSocket> callers;
        callers.reserve(Callers);
        for (int i = 0; i < Callers; ++i) {
            callers.push_back(echo.caller());
        }
        // The worker threads end these connections while drain() iterates over them.
        callers.clear();
        echo.server->drain();
    }
    SUCCEED();
}
