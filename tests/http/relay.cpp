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

/** Writes @p answer after each request's head until the connection ends. */
ScriptedTarget::Script answering(const std::string &answer)
{
    return [answer](RawSocket &socket, unsigned) {
        while (!socket.readUntil("\r\n\r\n").empty() && socket.write(answer)) {
        }
    };
}

/** Writes @p answer after the first request's head, then closes the connection. */
ScriptedTarget::Script answeringOnce(const std::string &answer)
{
    return [answer](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(answer);
    };
}

std::string uploadHead(bool isOldVersion, std::size_t bodyBytes)
{
    return fmt::format("POST /a HTTP/1.{}\r\nHost: x\r\nContent-Length: {}\r\n\r\n", isOldVersion ? 0 : 1, bodyBytes);
}

bool failedWith(const http::RelayResult &result, RunState run, ErrorCode code)
{
    return result.outcome.run == run && result.outcome.failure && result.outcome.failure->code == code;
}

} // namespace

TEST_CASE("a target that responds before it has read the request's body does not deadlock the exchange")
{
    constexpr std::size_t BodyBytes = 900'000;
    const std::string answer(8'000'000, 'a');
    ScriptedTarget target([&](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.size()));
        socket.write(answer);
        socket.read(BodyBytes);
    });
    RelayServer server(target.address(), relayOptions(false, 8000));
    auto caller = server.caller();
    caller.write(fmt::format("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", BodyBytes));
    caller.write(std::string(BodyBytes / 2, 'b'));
    const auto head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 200"));
    CHECK(caller.read(answer.size()) == answer);
    CHECK(server.nextResult().outcome.run == RunState::Ran);
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("a caller with Expect: 100-continue gets status 100 before it sends its body")
{
    std::string seen;
    ScriptedTarget target([&seen](RawSocket &socket, unsigned) {
        seen = socket.readUntil("\r\n\r\n");
        seen += socket.read(4);
        socket.write(Ok);
    });
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.write("body");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(server.nextResult().outcome.run == RunState::Ran);
    CHECK(seen.find("Expect") == std::string::npos);
    CHECK(seen.ends_with("body"));
}

TEST_CASE("chunked bodies are relayed both ways without their trailers")
{
    std::string seen;
    ScriptedTarget target([&seen](RawSocket &socket, unsigned) {
        seen = socket.readUntil("\r\n0\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                     "3;ext=1\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Sum: 7\r\n\r\n");
    });
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                 "5\r\nhello\r\n0\r\nX-Sum: 5\r\n\r\n");
    const auto answer = caller.readUntil("0\r\n\r\n");
    CHECK(answer.find("\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n") != std::string::npos);
    CHECK(answer.find("X-Sum") == std::string::npos);
    CHECK(seen.find("\r\n\r\n5\r\nhello\r\n0\r\n\r\n") != std::string::npos);
    CHECK(seen.find("X-Sum") == std::string::npos);
    CHECK(server.nextResult().outcome.run == RunState::Ran);
}

TEST_CASE("responses without a body end with their head and leave the connection usable")
{
    const auto &[request, head] = GENERATE(table<std::string, std::string>({
        {"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
        {Get, "HTTP/1.1 204 No Content\r\n\r\n"},
        {Get, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"},
    }));
    ScriptedTarget target(answering(head));
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    for (int i = 0; i < 3; ++i) {
        caller.write(request);
        CHECK(caller.readUntil("\r\n\r\n") == head);
        CHECK(server.nextResult().outcome.run == RunState::Ran);
    }
    CHECK(target.accepted() == 1);
}

TEST_CASE("interim responses of a target are skipped")
{
    ScriptedTarget target(answering("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + Ok));
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    caller.write(Get);
    CHECK(caller.readUntil("ok") == Ok);
}

TEST_CASE("a response that ends by closing the connection ends the same way only for a caller that uses HTTP/1.0")
{
    ScriptedTarget target(answeringOnce("HTTP/1.1 200 OK\r\n\r\nwhole"));
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    SECTION("HTTP/1.0")
    {
        caller.write("GET /a HTTP/1.0\r\nHost: x\r\n\r\n");
        CHECK(caller.readAll() == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    }
    SECTION("HTTP/1.1")
    {
        caller.write(Get);
        CHECK(caller.readUntil("0\r\n\r\n")
              == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    }
    CHECK_FALSE(caller.wasReset());
    CHECK(server.nextResult().outcome.run == RunState::Ran);
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("a truncated response never looks complete to the caller")
{
    SECTION("with Content-Length")
    {
        ScriptedTarget target(answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"));
        RelayServer server(target.address(), relayOptions(true));
        auto caller = server.caller();
        caller.write(Get);
        CHECK(caller.readAll() == "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
        CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::AnswerTruncated));
    }
    SECTION("with chunks")
    {
        ScriptedTarget target(answeringOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
        RelayServer server(target.address(), relayOptions(true));
        auto caller = server.caller();
        caller.write(Get);
        CHECK_FALSE(caller.readAll().ends_with("0\r\n\r\n"));
        CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::AnswerTruncated));
    }
    SECTION("without framing")
    {
        const bool isOldVersion = GENERATE(true, false);
        CAPTURE(isOldVersion);
        ScriptedTarget target([](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.write("HTTP/1.1 200 OK\r\n\r\nabc");
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            socket.reset();
        });
        RelayServer server(target.address(), relayOptions(true));
        auto caller = server.caller();
        caller.write(isOldVersion ? "GET /a HTTP/1.0\r\nHost: x\r\n\r\n" : Get);
        const auto received = caller.readAll();
        CHECK(received.find("abc") != std::string::npos);
        const bool isInChunks = received.find("Transfer-Encoding: chunked") != std::string::npos;
        CHECK(isInChunks == !isOldVersion);
        CHECK((isInChunks ? !received.ends_with("0\r\n\r\n") : caller.wasReset()));
        CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::AnswerTruncated));
    }
}

// Guards against a truncated response that looks complete because the upload got the only report of the reset.
TEST_CASE("a response without a length that is reset during the upload never looks complete to the caller")
{
    constexpr std::size_t BodyBytes = 16'000'000;
    const bool isOldVersion = GENERATE(true, false);
    const std::size_t answerBytes = GENERATE(0, 4096, 300'000);
    const auto delay = std::chrono::milliseconds(GENERATE(0, 20));
    const std::size_t bufferBytes = GENERATE(0, 262'144);
    CAPTURE(isOldVersion, answerBytes, delay.count(), bufferBytes);
    ScriptedTarget target([&](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(answerBytes, 'a'));
        std::this_thread::sleep_for(delay);
        socket.reset();
    });
    auto options = relayOptions(false);
    options.maxRequestBytes = BodyBytes;
    options.answerBufferBytes = bufferBytes;
    RelayServer server(target.address(), options);
    auto caller = server.caller();
    caller.write(uploadHead(isOldVersion, BodyBytes));
    caller.write(std::string(BodyBytes, 'b'));
    CHECK_FALSE(caller.readAll().ends_with("0\r\n\r\n"));
    const auto result = server.nextResult();
    CHECK(result.outcome.run == RunState::Unknown);
    REQUIRE(result.outcome.failure);
    // The head itself may not have been read before the reset.
    CHECK((result.outcome.failure->code == ErrorCode::AnswerTruncated || !result.sentToCaller));
}

// Guards against a whole response that is discarded because the target reset the rest of the upload after its end.
TEST_CASE("a response that ends with its connection is delivered although the target reads no more of the upload")
{
    constexpr std::size_t BodyBytes = 16'000'000;
    const std::size_t answerBytes = GENERATE(0, 4096);
    const auto delay = std::chrono::milliseconds(GENERATE(0, 20));
    CAPTURE(answerBytes, delay.count());
    ScriptedTarget target([&](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(answerBytes, '+'));
        socket.closeSending();
        std::this_thread::sleep_for(delay);
        socket.reset();
    });
    auto options = relayOptions(false);
    options.maxRequestBytes = BodyBytes;
    options.answerBufferBytes = 1U << 20U;
    RelayServer server(target.address(), options);
    auto caller = server.caller();
    caller.write(uploadHead(false, BodyBytes));
    caller.write(std::string(BodyBytes / 8, 'b'));
    const auto received = caller.readUntil("\r\n0\r\n\r\n");
    CHECK(received.ends_with("\r\n0\r\n\r\n"));
    CHECK(std::count(received.begin(), received.end(), '+') == static_cast<std::ptrdiff_t>(answerBytes));
    CHECK(server.nextResult().outcome.run == RunState::Ran);
}

TEST_CASE(
    "a response that ends with its connection does not look complete if the request turns out malformed meanwhile")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\n\r\nabc");
        socket.readAll();
    });
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    CHECK(caller.readUntil("abc").ends_with("abc"));
    caller.write("no chunk\r\n");
    CHECK_FALSE(caller.readAll().ends_with("0\r\n\r\n"));
    CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::RequestMalformed));
}

TEST_CASE("a request whose declared length is too large is not sent to the target")
{
    ScriptedTarget target(answering(Ok));
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(failedWith(server.nextResult(), RunState::NotRun, ErrorCode::RequestTooLarge));
    CHECK(target.accepted() == 0);
}

TEST_CASE("a chunked request that turns out to be too large fails with an unknown run state")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readAll();
    });
    RelayServer server(target.address(), relayOptions(false));
    auto caller = server.caller();
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(65536, 'c') + "\r\n";
    for (int i = 0; i < 18; ++i) {
        caller.write(chunk);
    }
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::RequestTooLarge));
}

TEST_CASE("a reset by the target proves no more than the stage it came at, a failed connect proves not run")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.reset();
    });
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    caller.write(Get);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    const auto result = server.nextResult();
    CHECK(result.outcome.failure->code == ErrorCode::TargetFailed);
    CHECK(result.outcome.run == requests::provenRunState(result.stage, false));
    CHECK_FALSE(result.sentToCaller);

    RelayServer unreachable("127.0.0.1:1", relayOptions(false));
    auto other = unreachable.caller();
    other.write(Get);
    other.readUntil("\r\n\r\n");
    CHECK(failedWith(unreachable.nextResult(), RunState::NotRun, ErrorCode::TargetFailed));
}

TEST_CASE("a request on a reused connection that the target closes is resent only if it is idempotent")
{
    const bool idempotent = GENERATE(true, false);
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(Ok);
        socket.readUntil("\r\n\r\n");
    });
    RelayServer server(target.address(), relayOptions(idempotent));
    auto caller = server.caller();
    caller.write(Get);
    CHECK(caller.readUntil("ok") == Ok);
    CHECK(server.nextResult().outcome.run == RunState::Ran);
    caller.write(Get);
    if (idempotent) {
        CHECK(caller.readUntil("ok") == Ok);
        CHECK(server.nextResult().outcome.run == RunState::Ran);
        CHECK(target.accepted() == 2);
    } else {
        CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
        CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::TargetFailed));
        CHECK(target.accepted() == 1);
    }
}

TEST_CASE("a response after the deadline is not delivered to another request")
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
    RelayServer server(target.address(), relayOptions(true, 200));
    auto caller = server.caller();
    caller.write(Get);
    caller.readUntil("\r\n\r\n");
    CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::DeadlinePassed));
    CHECK(server.idleConnections() == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto other = server.caller();
    other.write(Get);
    CHECK(other.readUntil("ok") == Ok);
}

TEST_CASE("a target's connection is closed if more bytes follow its response")
{
    ScriptedTarget target(answering(Ok + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"));
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    caller.write(Get);
    CHECK(caller.readUntil("ok") == Ok);
    CHECK(server.nextResult().outcome.run == RunState::Ran);
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("malformed responses fail the attempt and are not relayed")
{
    const std::string answer = GENERATE("nonsense\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\n X-A: 1\r\nContent-Length: 2\r\n\r\nok",
                                        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
                                        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                                        "");
    INFO(answer);
    ScriptedTarget target(answeringOnce(answer));
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    caller.write(Get);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(failedWith(server.nextResult(), RunState::Unknown, ErrorCode::TargetFailed));
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("hop-by-hop headers are removed both ways, and so is Pimentoshed-Run from a target")
{
    std::string seen;
    ScriptedTarget target([&seen](RawSocket &socket, unsigned) {
        seen = socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nPimentoshed-Run: not-run\r\nX-End: 2\r\n"
                     "Content-Length: 0\r\n\r\n");
    });
    RelayServer server(target.address(), relayOptions(true));
    auto caller = server.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\nConnection: X-Mine, Host\r\nX-Mine: 1\r\nTE: trailers\r\n"
                 "Upgrade: y\r\nX-Fold: a\r\n b\r\nX-End: 2\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n") == "HTTP/1.1 200 OK\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n");
    server.nextResult();
    for (const auto *removed : {"X-Mine", "TE:", "Upgrade", "Connection", "\r\n b"}) {
        INFO(removed);
        CHECK(seen.find(removed) == std::string::npos);
    }
    CHECK(seen.find("Host: x\r\n") != std::string::npos);
    CHECK(seen.find("X-Fold: a b\r\n") != std::string::npos);
    CHECK(seen.find("Pimentoshed-Deadline-Ms: ") != std::string::npos);
}

TEST_CASE("a target's 503 response proves that the request was not run only if the service declares so")
{
    const bool declared = GENERATE(true, false);
    ScriptedTarget target(answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
    auto options = relayOptions(false);
    options.shedIsNotRun = declared;
    RelayServer server(target.address(), options);
    auto caller = server.caller();
    caller.write(Get);
    const auto head = caller.readUntil("\r\n\r\n");
    if (declared) {
        CHECK(head.starts_with("HTTP/1.1 502"));
        CHECK(failedWith(server.nextResult(), RunState::NotRun, ErrorCode::TargetFailed));
    } else {
        CHECK(head.starts_with("HTTP/1.1 503 Busy"));
        CHECK(server.nextResult().outcome.run == RunState::Ran);
    }
}

TEST_CASE("a target gets the name of the workspace, and neither the key nor what the caller says about its workspace")
{
    const auto workspace = GENERATE(std::optional<core::WorkspaceName>(),
                                    std::optional(core::WorkspaceName("w")),
                                    std::optional(core::WorkspaceName()));
    std::string head;
    ScriptedTarget target([&head](RawSocket &socket, unsigned) {
        head = socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 204 No Content\r\n\r\n");
    });
    auto options = relayOptions(false);
    options.workspace = workspace;
    RelayServer server(target.address(), options);
    auto caller = server.caller();
    caller.write("GET /a HTTP/1.1\r\nHost: x\r\npimentoshed-KEY: k1\r\nPimentoshed-Key: k2\r\n"
                 "Pimentoshed-Workspace: v\r\npimentoshed-workspace: v\r\n\r\n");
    CHECK(caller.readUntil("\r\n").find("204") != std::string::npos);
    CHECK((head.find("k1") != std::string::npos) == !workspace.has_value());
    CHECK((head.find("k2") != std::string::npos) == !workspace.has_value());
    CHECK((head.find(": v\r\n") != std::string::npos) == !workspace.has_value());
    CHECK((head.find("Pimentoshed-Workspace: w\r\n") != std::string::npos) == (workspace == core::WorkspaceName("w")));
}

TEST_CASE("a request's key is the value of its single Pimentoshed-Key header")
{
    const auto presenceOf = [](const std::vector<std::string> &values) {
        http::RequestHead head;
        for (const auto &value : values) {
            head.insert("pimentoshed-key", value);
        }
        return http::defaultProtocolHooks().callerKey(head).presence;
    };
    CHECK(presenceOf({}) == workspaces::KeyPresence::Missing);
    CHECK(presenceOf({""}) == workspaces::KeyPresence::Missing);
    CHECK(presenceOf({"k1"}) == workspaces::KeyPresence::Single);
    CHECK(presenceOf({"k1", "k1"}) == workspaces::KeyPresence::Several);
}

TEST_CASE("a refusal for a key has status 401 and names the header")
{
    const auto reply = http::defaultProtocolHooks().makeRefusal(
        {{requests::RunState::NotRun, core::Error{core::ErrorCode::KeyUnknown, {}}}, {}});
    CHECK(reply.status == boost::beast::http::status::unauthorized);
    CHECK(std::count(reply.headers.begin(), reply.headers.end(), http::Header("WWW-Authenticate", "Pimentoshed-Key"))
          == 1);
}

// Guards against an attempt that ends before its deadline because its target is silent: the target may be at work.
TEST_CASE("an attempt at a silent target lasts until its deadline, and its connection is not used again")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        // Returns once the relay closes the connection.
        socket.readUntil("\r\n\r\n");
    });
    RelayServer server(target.address(), relayOptions(true, 300));
    auto caller = server.caller();
    const auto start = core::steadyNow();
    caller.write(Get);
    const auto result = server.nextResult();
    CHECK(failedWith(result, RunState::Unknown, ErrorCode::DeadlinePassed));
    CHECK(core::steadyNow() - start >= std::chrono::milliseconds(300));
    CHECK(result.isSilent);
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("a target that has sent a part of its response is not silent")
{
    ScriptedTarget target([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\nContent-");
        socket.readUntil("\r\n\r\n");
    });
    RelayServer server(target.address(), relayOptions(true, 200));
    auto caller = server.caller();
    caller.write(Get);
    const auto result = server.nextResult();
    CHECK(failedWith(result, RunState::Unknown, ErrorCode::DeadlinePassed));
    CHECK_FALSE(result.isSilent);
}
