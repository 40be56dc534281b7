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

/** A pace that a test need not wait long for. */
http::RelayOptions strictTerms()
{
    auto terms = relayOptions(false, 8000);
    terms.minimumRate = {milliseconds(200), 1U << 20U};
    return terms;
}

} // namespace

TEST_CASE("bytes earn a caller time, waiting spends it")
{
    http::StallBudget pace({milliseconds(100), 1000});
    pace.moved(0, milliseconds(60));
    CHECK(pace.left() == milliseconds(40));
    pace.moved(10, milliseconds(20));
    CHECK(pace.left() == milliseconds(30));
    pace.moved(1'000'000, milliseconds(1));
    CHECK(pace.left() == milliseconds(100));
}

TEST_CASE("a caller that goes away while it waits ends the attempt at the target")
{
    std::atomic<bool> ended{false};
    ScriptedTarget target([&ended](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.readAll();
        ended = true;
    });
    RelayServer gate(target.address(), relayOptions(false, 8000));
    const auto start = std::chrono::steady_clock::now();
    {
        auto caller = gate.caller();
        caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(100));
    }
    const auto result = gate.nextResult();
    CHECK(result.callerLeft);
    CHECK(result.outcome.run == requests::RunState::Unknown);
    while (!ended && std::chrono::steady_clock::now() - start < milliseconds(2000)) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(ended);
    CHECK(gate.idleConnections() == 0);
}

TEST_CASE("a pipelined request is not taken for the caller's end")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        while (!socket.readUntil("\r\n\r\n").empty()) {
            std::this_thread::sleep_for(milliseconds(50));
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    RelayServer gate(target.address(), relayOptions(false));
    auto caller = gate.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(20));
    caller.write("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(caller.readUntil("ok").ends_with("ok"));
    CHECK(caller.readUntil("ok").ends_with("ok"));
}

TEST_CASE("a caller that sends its body too slowly is cut off and the target's slot is free")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readAll();
    });
    RelayServer gate(target.address(), strictTerms());
    auto caller = gate.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nab");
    const auto answer = caller.readAll();
    CHECK(answer.find("4014") != std::string::npos);
    const auto result = gate.nextResult();
    CHECK(result.outcome.failure->code == ErrorCode::CallerTooSlow);
    CHECK(result.outcome.run == requests::RunState::Unknown);
}

TEST_CASE("a caller that reads its answer too slowly is cut off, and memory stays bounded meanwhile")
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
    RelayServer gate(target.address(), strictTerms());
    auto caller = gate.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto result = gate.nextResult();
    CHECK(result.outcome.failure->code == ErrorCode::CallerTooSlow);
    CHECK(result.sentToCaller);
    CHECK(caller.readAll().size() < 1'000'000'000);
    // What the two connections' buffers in the operating system hold.
    CHECK(written < 64U << 20U);
}

TEST_CASE("the deadline ends an attempt wherever it is")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.readAll();
    });
    RelayServer gate(target.address(), relayOptions(false, 150));
    auto caller = gate.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nab");
    CHECK(caller.readAll().find("4004") != std::string::npos);
    CHECK(gate.nextResult().outcome.failure->code == ErrorCode::DeadlinePassed);
}
