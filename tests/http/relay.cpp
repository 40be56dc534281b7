#include "http/relay.h"

#include "http/fakes.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace pimentoshed;
using namespace pimentoshed::http::fakes;
using core::ErrorCode;
using requests::RunState;

namespace
{

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Reads a head and writes @p answer to each request until the connection ends. */
ScriptedTarget::Script answering(const std::string &answer)
{
    return [answer](RawSocket &socket, unsigned) {
        while (!socket.readUntil("\r\n\r\n").empty() && socket.write(answer)) {
        }
    };
}

/** Writes @p answer to one request, then closes. */
ScriptedTarget::Script answeringOnce(const std::string &answer)
{
    return [answer](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(answer);
    };
}

bool failedWith(const http::RelayResult &result, RunState run, ErrorCode code)
{
    return result.outcome.run == run && result.outcome.failure && result.outcome.failure->code == code;
}

} // namespace

TEST_CASE("a target that answers while the body is still coming doesn't halt the exchange")
{
    constexpr std::size_t BodyBytes = 900'000;
    const std::string answer(8'000'000, 'a');
    ScriptedTarget target([&](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.size()));
        socket.write(answer);
        socket.read(BodyBytes);
    });
    RelayServer gate(target.address(), relayOptions(false, 8000));
    auto caller = gate.caller();
    caller.write(fmt::format("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", BodyBytes));
    caller.write(std::string(BodyBytes / 2, 'b'));
    const auto head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 200"));
    CHECK(caller.read(answer.size()) == answer);
    CHECK(gate.nextResult().outcome.run == RunState::Ran);
    CHECK(gate.idleConnections() == 0);
}

TEST_CASE("a caller that expects 100 gets it before it sends its body")
{
    std::string seen;
    ScriptedTarget target([&seen](RawSocket &socket, unsigned) {
        seen = socket.readUntil("\r\n\r\n");
        seen += socket.read(4);
        socket.write(Ok);
    });
    RelayServer gate(target.address(), relayOptions(false));
    auto caller = gate.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.write("body");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(gate.nextResult().outcome.run == RunState::Ran);
    CHECK(seen.find("Expect") == std::string::npos);
    CHECK(seen.ends_with("body"));
}

TEST_CASE("chunks pass both ways and trailers are dropped")
{
    std::string seen;
    ScriptedTarget target([&seen](RawSocket &socket, unsigned) {
        seen = socket.readUntil("\r\n0\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                     "3;ext=1\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Sum: 7\r\n\r\n");
    });
    RelayServer gate(target.address(), relayOptions(false));
    auto caller = gate.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                 "5\r\nhello\r\n0\r\nX-Sum: 5\r\n\r\n");
    const auto answer = caller.readUntil("0\r\n\r\n");
    CHECK(answer.find("\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n") != std::string::npos);
    CHECK(answer.find("X-Sum") == std::string::npos);
    CHECK(seen.find("\r\n\r\n5\r\nhello\r\n0\r\n\r\n") != std::string::npos);
    CHECK(seen.find("X-Sum") == std::string::npos);
    CHECK(gate.nextResult().outcome.run == RunState::Ran);
}

TEST_CASE("answers without a body end at their head")
{
    const auto &[request, head] = GENERATE(table<std::string, std::string>({
        {"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
        {Get, "HTTP/1.1 204 No Content\r\n\r\n"},
        {Get, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"},
    }));
    ScriptedTarget target(answering(head));
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    for (int i = 0; i < 3; ++i) {
        caller.write(request);
        CHECK(caller.readUntil("\r\n\r\n") == head);
        CHECK(gate.nextResult().outcome.run == RunState::Ran);
    }
    CHECK(target.accepted() == 1);
}

TEST_CASE("interim answers of a target are not the answer")
{
    ScriptedTarget target(answering("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + Ok));
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    caller.write(Get);
    CHECK(caller.readUntil("ok") == Ok);
}

TEST_CASE("an answer that ends by close ends by close for the caller")
{
    ScriptedTarget target(answeringOnce("HTTP/1.1 200 OK\r\n\r\nwhole"));
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    caller.write(Get);
    CHECK(caller.readAll() == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    CHECK_FALSE(caller.wasReset());
    CHECK(gate.nextResult().outcome.run == RunState::Ran);
    CHECK(gate.idleConnections() == 0);
}

TEST_CASE("a truncated answer never looks whole")
{
    SECTION("by length")
    {
        ScriptedTarget target(answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"));
        RelayServer gate(target.address(), relayOptions(true));
        auto caller = gate.caller();
        caller.write(Get);
        CHECK(caller.readAll() == "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
        CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::AnswerTruncated));
    }
    SECTION("by chunks")
    {
        ScriptedTarget target(answeringOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
        RelayServer gate(target.address(), relayOptions(true));
        auto caller = gate.caller();
        caller.write(Get);
        CHECK_FALSE(caller.readAll().ends_with("0\r\n\r\n"));
        CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::AnswerTruncated));
    }
    SECTION("by a reset of what would end by close")
    {
        ScriptedTarget target([](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.write("HTTP/1.1 200 OK\r\n\r\nabc");
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            socket.reset();
        });
        RelayServer gate(target.address(), relayOptions(true));
        auto caller = gate.caller();
        caller.write(Get);
        caller.readAll();
        CHECK(caller.wasReset());
        CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::AnswerTruncated));
    }
}

TEST_CASE("a request that is declared too large reaches no target")
{
    ScriptedTarget target(answering(Ok));
    RelayServer gate(target.address(), relayOptions(false));
    auto caller = gate.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(failedWith(gate.nextResult(), RunState::NotRun, ErrorCode::RequestTooLarge));
    CHECK(target.accepted() == 0);
}

TEST_CASE("a request that grows too large by chunks may have run")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readAll();
    });
    RelayServer gate(target.address(), relayOptions(false));
    auto caller = gate.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(65536, 'c') + "\r\n";
    for (int i = 0; i < 18; ++i) {
        caller.write(chunk);
    }
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::RequestTooLarge));
}

TEST_CASE("a target that resets before it answers leaves the run unknown, one that isn't there does not")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.reset();
    });
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    caller.write(Get);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    const auto result = gate.nextResult();
    CHECK(result.outcome.failure->code == ErrorCode::TargetFailed);
    CHECK(result.outcome.run == requests::provenRunState(result.stage, false));
    CHECK_FALSE(result.sentToCaller);

    RelayServer nowhere("127.0.0.1:1", relayOptions(false));
    auto other = nowhere.caller();
    other.write(Get);
    other.readUntil("\r\n\r\n");
    CHECK(failedWith(nowhere.nextResult(), RunState::NotRun, ErrorCode::TargetFailed));
}

TEST_CASE("a reused connection that the target closes as it is used")
{
    const bool idempotent = GENERATE(true, false);
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(Ok);
        socket.readUntil("\r\n\r\n");
    });
    RelayServer gate(target.address(), relayOptions(idempotent));
    auto caller = gate.caller();
    caller.write(Get);
    CHECK(caller.readUntil("ok") == Ok);
    CHECK(gate.nextResult().outcome.run == RunState::Ran);
    caller.write(Get);
    if (idempotent) {
        CHECK(caller.readUntil("ok") == Ok);
        CHECK(gate.nextResult().outcome.run == RunState::Ran);
        CHECK(target.accepted() == 2);
    } else {
        CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
        CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::TargetFailed));
        CHECK(target.accepted() == 1);
    }
}

TEST_CASE("a late answer reaches no other request")
{
    ScriptedTarget target([](RawSocket &socket, unsigned number) {
        socket.readUntil("\r\n\r\n");
        if (number == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        } else {
            socket.write(Ok);
        }
    });
    RelayServer gate(target.address(), relayOptions(true, 200));
    auto caller = gate.caller();
    caller.write(Get);
    caller.readUntil("\r\n\r\n");
    CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::DeadlinePassed));
    CHECK(gate.idleConnections() == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto other = gate.caller();
    other.write(Get);
    CHECK(other.readUntil("ok") == Ok);
}

TEST_CASE("an answer that more bytes follow has its connection closed")
{
    ScriptedTarget target(answering(Ok + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"));
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    caller.write(Get);
    CHECK(caller.readUntil("ok") == Ok);
    CHECK(gate.nextResult().outcome.run == RunState::Ran);
    CHECK(gate.idleConnections() == 0);
}

TEST_CASE("malformed answers are refused")
{
    const std::string answer = GENERATE("nonsense\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
                                        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                                        "");
    INFO(answer);
    ScriptedTarget target(answeringOnce(answer));
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    caller.write(Get);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(failedWith(gate.nextResult(), RunState::Unknown, ErrorCode::TargetFailed));
    CHECK(gate.idleConnections() == 0);
}

TEST_CASE("what concerns one hop only is dropped both ways, and a target can't say what ran")
{
    std::string seen;
    ScriptedTarget target([&seen](RawSocket &socket, unsigned) {
        seen = socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nPimentoshed-Run: not-run\r\nX-End: 2\r\n"
                     "Content-Length: 0\r\n\r\n");
    });
    RelayServer gate(target.address(), relayOptions(true));
    auto caller = gate.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\nConnection: X-Mine, Host\r\nX-Mine: 1\r\nTE: trailers\r\n"
                 "Upgrade: y\r\nX-Fold: a\r\n b\r\nX-End: 2\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n") == "HTTP/1.1 200 OK\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n");
    gate.nextResult();
    for (const auto *gone : {"X-Mine", "TE:", "Upgrade", "Connection", "\r\n b"}) {
        INFO(gone);
        CHECK(seen.find(gone) == std::string::npos);
    }
    CHECK(seen.find("Host: x\r\n") != std::string::npos);
    CHECK(seen.find("X-Fold: a b\r\n") != std::string::npos);
    CHECK(seen.find("Pimentoshed-Deadline-Ms: ") != std::string::npos);
}

TEST_CASE("a target's shed answer proves that nothing ran only where that is declared")
{
    const bool declared = GENERATE(true, false);
    ScriptedTarget target(answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
    auto terms = relayOptions(false);
    terms.shedIsNotRun = declared;
    RelayServer gate(target.address(), terms);
    auto caller = gate.caller();
    caller.write(Get);
    const auto head = caller.readUntil("\r\n\r\n");
    if (declared) {
        CHECK(head.starts_with("HTTP/1.1 502"));
        CHECK(failedWith(gate.nextResult(), RunState::NotRun, ErrorCode::TargetFailed));
    } else {
        CHECK(head.starts_with("HTTP/1.1 503 Busy"));
        CHECK(gate.nextResult().outcome.run == RunState::Ran);
    }
}
