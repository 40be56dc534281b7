#include "http/relayrace.h"

#include "core/workerpool.h"
#include "http/fakes.h"
#include "http/jsonreply.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

using namespace pimentoshed;
using namespace pimentoshed::http;
using namespace pimentoshed::http::fakes;
using namespace std::chrono_literals;
using core::ErrorCode;

namespace
{

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string GetAndClose = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
constexpr core::Duration Delay = 30ms;

std::string response(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A server that relays each request to one target and, after Delay, to another one. */
class RaceServer
{
public:
    RaceServer(std::string first, std::string second, unsigned deadlineMs = 3000)
        : m_first(std::move(first))
        , m_second(std::move(second))
        , m_deadline(deadlineMs)
        , m_server(core::value(Server::Builder(m_pool.context())
                                   .address("127.0.0.1:0")
                                   .handler([this](Exchange &exchange) {
                                       race(exchange);
                                   })
                                   .start()))
    {
    }

    ~RaceServer()
    {
        std::promise<void> done;
        m_server->drain([&done]() {
            done.set_value();
        });
        done.get_future().wait_for(8s);
        m_pool.stop();
    }

    RawSocket caller() const
    {
        return RawSocket::connect(m_server->address());
    }

    RaceResult result()
    {
        auto future = m_result.get_future();
        REQUIRE(future.wait_for(8s) == std::future_status::ready);
        return future.get();
    }

    std::size_t idleConnections() const
    {
        return m_connections.idleCount();
    }

    /** Ends reported by the race, as bits: first 1, second 2. */
    int ended() const
    {
        return m_ended;
    }

private:
    RaceEntry entryFor(const std::string &address) const
    {
        auto options = relayOptions(true);
        options.deadline = core::steadyNow() + std::chrono::milliseconds(m_deadline);
        options.address = address;
        options.answerBufferBytes = 65536;
        options.passServerErrors = true;
        return {options, nullptr};
    }

    void race(Exchange &exchange)
    {
        RaceHooks hooks;
        hooks.delay = Delay;
        hooks.makeSecond = [this](const Yield &) {
            return std::optional(entryFor(m_second));
        };
        hooks.onEnd = [this](Entrant entrant, const RelayResult &) {
            m_ended |= entrant == Entrant::First ? 1 : 2;
        };
        auto result = relayRace(exchange, m_connections, entryFor(m_first), hooks);
        const auto &last = result.second && result.first.outcome.failure ? *result.second : result.first;
        if (last.outcome.failure && !last.callerLeft && !last.sentToCaller) {
            exchange.send(errorReply(boost::beast::http::status::bad_gateway, *last.outcome.failure));
        }
        m_result.set_value(std::move(result));
    }

    const std::string m_first;
    const std::string m_second;
    const unsigned m_deadline;
    std::promise<RaceResult> m_result;
    std::atomic<int> m_ended{0};
    core::WorkerPool m_pool{2};
    ConnectionPool m_connections{m_pool.context()};
    std::shared_ptr<Server> m_server;
};

/** Reads a request, and keeps its connection until the other side ends it, which is then stored in @p isEnded. */
ScriptedTarget::Script hanging(std::promise<void> *ended = nullptr)
{
    return [ended](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.readAll();
        if (ended != nullptr) {
            ended->set_value();
        }
    };
}

/** Reads a request, waits for @p pause, and writes @p bytes; then keeps the connection if @p isKept. */
ScriptedTarget::Script writing(const std::string &bytes, core::Duration pause = {}, bool isKept = true)
{
    return [=](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        std::this_thread::sleep_for(pause);
        socket.write(bytes);
        if (isKept) {
            socket.readAll();
        }
    };
}

bool failedWith(const RelayResult &result, ErrorCode code)
{
    return result.outcome.failure && result.outcome.failure->code == code;
}

/** Sends a request, and returns everything that comes until the server closes the connection. */
std::string answerOf(const RaceServer &server)
{
    auto caller = server.caller();
    caller.write(GetAndClose);
    return caller.readAll();
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a target that hangs is replaced by a second one, and freed at once")
{
    std::promise<void> isFreed;
    ScriptedTarget slow(hanging(&isFreed));
    ScriptedTarget fast(writing(response("second")));
    RaceServer server(slow.address(), fast.address());
    const auto answer = answerOf(server);
    CHECK(answer.ends_with("second"));
    CHECK(countOf(answer, "HTTP/1.1") == 1);
    CHECK(isFreed.get_future().wait_for(2s) == std::future_status::ready);
    const auto result = server.result();
    CHECK(result.first.isSuperseded);
    REQUIRE(result.second);
    CHECK_FALSE(result.second->outcome.failure);
    CHECK(server.ended() == 3);
    CHECK(server.idleConnections() == 1);
}

TEST_CASE("a late first response that is still the first one is sent, and the second attempt is cancelled")
{
    std::promise<void> isFreed;
    ScriptedTarget slow(writing(response("first"), 100ms));
    ScriptedTarget hangs(hanging(&isFreed));
    RaceServer server(slow.address(), hangs.address());
    CHECK(answerOf(server).ends_with("first"));
    CHECK(isFreed.get_future().wait_for(2s) == std::future_status::ready);
    const auto result = server.result();
    CHECK_FALSE(result.first.outcome.failure);
    REQUIRE(result.second);
    CHECK(result.second->isSuperseded);
    CHECK(server.idleConnections() == 1);
}

TEST_CASE("there is no second attempt if the first response comes in time")
{
    ScriptedTarget fast(writing(response("first")));
    ScriptedTarget unused(hanging());
    RaceServer server(fast.address(), unused.address());
    CHECK(answerOf(server).ends_with("first"));
    CHECK_FALSE(server.result().second);
    std::this_thread::sleep_for(2 * Delay);
    CHECK(unused.accepted() == 0);
}

TEST_CASE("a response that starts in time but stays incomplete is overtaken by a whole one")
{
    ScriptedTarget partial(writing("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfir"));
    ScriptedTarget fast(writing(response("second")));
    RaceServer server(partial.address(), fast.address());
    const auto answer = answerOf(server);
    CHECK(answer.ends_with("second"));
    CHECK(answer.find("fir") == std::string::npos);
}

TEST_CASE("a failed attempt never wins while the other may still succeed")
{
    const auto &[bytes, isKept] = GENERATE(table<std::string, bool>({
        {"", false},
        {"garbled\r\n\r\n", true},
        {"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nno", true},
        {"HTTP/1.1 200 OK\r\nX-A B: 1\r\nContent-Length: 2\r\n\r\nno", true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbro", false},
        {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", true},
    }));
    const bool firstFails = GENERATE(true, false);
    // The failure comes after the second attempt has started, and before the other one's response.
    ScriptedTarget fails(writing(bytes, firstFails ? 80ms : 0ms, isKept));
    ScriptedTarget answers(writing(response("good"), firstFails ? 150ms : 200ms));
    RaceServer server(firstFails ? fails.address() : answers.address(),
                      firstFails ? answers.address() : fails.address());
    const auto answer = answerOf(server);
    CHECK(answer.ends_with("good"));
    CHECK(countOf(answer, "HTTP/1.1") == 1);
}

TEST_CASE("a response without a length that is reset never wins while the other attempt may still succeed")
{
    ScriptedTarget resets([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write("HTTP/1.1 200 OK\r\n\r\nbro");
        std::this_thread::sleep_for(80ms);
        socket.reset();
    });
    ScriptedTarget answers(writing(response("good"), 100ms));
    const bool firstFails = GENERATE(true, false);
    RaceServer server(firstFails ? resets.address() : answers.address(),
                      firstFails ? answers.address() : resets.address());
    const auto answer = answerOf(server);
    CHECK(answer.ends_with("good"));
    CHECK(countOf(answer, "HTTP/1.1") == 1);
}

TEST_CASE("if both attempts fail, neither has sent anything to the caller")
{
    const auto &bytes =
        GENERATE(as<std::string>(), "", "garbled\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nb");
    ScriptedTarget first(writing(bytes, 80ms, false));
    ScriptedTarget second(writing(bytes, 80ms, false));
    RaceServer server(first.address(), second.address());
    const auto answer = answerOf(server);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(countOf(answer, "HTTP/1.1") == 1);
    const auto result = server.result();
    CHECK_FALSE(result.first.sentToCaller);
    REQUIRE(result.second);
    CHECK_FALSE(result.second->sentToCaller);
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("if both targets hang, the request ends at its deadline")
{
    ScriptedTarget first(hanging());
    ScriptedTarget second(hanging());
    RaceServer server(first.address(), second.address(), 200);
    CHECK(answerOf(server).starts_with("HTTP/1.1 502"));
    const auto result = server.result();
    CHECK(failedWith(result.first, ErrorCode::DeadlinePassed));
    REQUIRE(result.second);
    CHECK(failedWith(*result.second, ErrorCode::DeadlinePassed));
}

TEST_CASE("an extra response on the winner's connection reaches no one")
{
    ScriptedTarget slow(hanging());
    ScriptedTarget repeats(writing(response("second") + response("extra")));
    RaceServer server(slow.address(), repeats.address());
    const auto answer = answerOf(server);
    CHECK(answer.ends_with("second"));
    server.result();
    CHECK(server.idleConnections() == 0);
}

TEST_CASE("a caller that leaves ends both attempts")
{
    std::promise<void> isFirstFreed;
    std::promise<void> isSecondFreed;
    ScriptedTarget first(hanging(&isFirstFreed));
    ScriptedTarget second(hanging(&isSecondFreed));
    RaceServer server(first.address(), second.address());
    auto caller = server.caller();
    caller.write(Get);
    while (second.accepted() == 0) {
        std::this_thread::sleep_for(5ms);
    }
    std::this_thread::sleep_for(20ms);
    caller.close();
    CHECK(isFirstFreed.get_future().wait_for(2s) == std::future_status::ready);
    CHECK(isSecondFreed.get_future().wait_for(2s) == std::future_status::ready);
    const auto result = server.result();
    CHECK(result.first.callerLeft);
    REQUIRE(result.second);
    CHECK(result.second->callerLeft);
}

TEST_CASE("a long response wins when its buffer is full, and reaches the caller whole")
{
    const std::string body(1'000'000, 'b');
    ScriptedTarget slow(hanging());
    ScriptedTarget fast(writing(response(body)));
    RaceServer server(slow.address(), fast.address());
    const auto answer = answerOf(server);
    CHECK(answer.size() > body.size());
    CHECK(answer.ends_with(body));
    CHECK(server.result().first.isSuperseded);
}
