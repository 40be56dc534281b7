#include "http/fakes.h"
#include "http/stallbudget.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace pimentoshed;
using namespace pimentoshed::http::fakes;
using core::ErrorCode;
using std::chrono::milliseconds;

namespace
{

/** Options with a minimum rate that callers violate soon enough for a test. */
http::RelayOptions strictOptions()
{
    auto options = relayOptions(false, 8000);
    options.minimumRate = {milliseconds(200), 1U << 20U};
    return options;
}

} // namespace

TEST_CASE("StallBudget: transferred bytes add time up to the grace period, waiting uses it up")
{
    http::StallBudget budget({milliseconds(100), 1000});
    budget.record(0, milliseconds(60));
    CHECK(budget.remaining() == milliseconds(40));
    budget.record(10, milliseconds(20));
    CHECK(budget.remaining() == milliseconds(30));
    budget.record(1'000'000, milliseconds(1));
    CHECK(budget.remaining() == milliseconds(100));
}

TEST_CASE("a caller that closes its connection while it waits ends the attempt and closes the target's connection")
{
    std::atomic<bool> ended{false};
    ScriptedTarget target([&ended](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.readAll();
        ended = true;
    });
    RelayServer server(target.address(), relayOptions(false, 8000));
    const auto start = std::chrono::steady_clock::now();
    {
        auto caller = server.caller();
        caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(100));
    }
    const auto result = server.nextResult();
    CHECK(result.callerLeft);
    CHECK(result.outcome.run == requests::RunState::Unknown);
    while (!ended && std::chrono::steady_clock::now() - start < milliseconds(2000)) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(ended);
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("a pipelined request is not mistaken for the caller closing its connection")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        while (!socket.readUntil("\r\n\r\n").empty()) {
            std::this_thread::sleep_for(milliseconds(50));
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(20));
    caller.write("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(caller.readUntil("ok").ends_with("ok"));
    CHECK(caller.readUntil("ok").ends_with("ok"));
}

TEST_CASE("a caller that sends its body too slowly is cut off and the attempt ends")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readAll();
    });
    RelayServer server(target.address(), strictOptions());
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nab");
    const auto answer = caller.readAll();
    CHECK(answer.find("4014") != std::string::npos);
    const auto result = server.nextResult();
    CHECK(result.outcome.failure->code == ErrorCode::CallerTooSlow);
    CHECK(result.outcome.run == requests::RunState::Unknown);
}

TEST_CASE("a caller that reads its response too slowly is cut off, with bounded memory meanwhile")
{
    std::atomic<std::size_t> written{0};
    ScriptedTarget target([&written](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
        const std::string piece(1U << 20U, 'a');
        while (socket.write(piece)) {
            written += piece.size();
        }
    });
    RelayServer server(target.address(), strictOptions());
    auto caller = server.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto result = server.nextResult();
    CHECK(result.outcome.failure->code == ErrorCode::CallerTooSlow);
    CHECK(result.sentToCaller);
    CHECK(caller.readAll().size() < 1'000'000'000);
    // An upper bound of what the operating system buffers for the two connections.
    CHECK(written < 64U << 20U);
}

TEST_CASE("the deadline ends an attempt that still receives the request's body")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.readAll();
    });
    RelayServer server(target.address(), relayOptions(false, 150));
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nab");
    CHECK(caller.readAll().find("4004") != std::string::npos);
    CHECK(server.nextResult().outcome.failure->code == ErrorCode::DeadlinePassed);
}

TEST_CASE("bytes of a chunked body that never form a chunk cut a caller off after a bounded number")
{
    const auto *const start = GENERATE("4;", "0\r\nX-A: a");
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readAll();
    });
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write(fmt::format("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n{}", start));
    const std::string pieces(4096, 'a');
    std::size_t written = 0;
    const auto begin = std::chrono::steady_clock::now();
    while (caller.write(pieces) && std::chrono::steady_clock::now() - begin < std::chrono::seconds(2)) {
        written += pieces.size();
    }
    CHECK(written < 16U << 20U);
    CHECK(server.nextResult().outcome.failure->code == ErrorCode::RequestMalformed);
}
