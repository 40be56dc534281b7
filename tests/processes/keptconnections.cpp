#include "processes/platformfleet.h"

#include "http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** The operator's limits: callers reuse connections that were idle for four fifths of the one, and take the other. */
constexpr auto ReusedAfter = 12s;
constexpr auto HeaderTimeout = 3000ms;
/** Longer than the limits of the server itself for heads and for the writing of its own responses. */
constexpr auto LongProcessing = 11s;

std::string encodeRead(const std::string &id)
{
    return fmt::format("GET /a/x HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 14000\r\n\r\n",
                       id);
}

/** A caller that keeps its connection. */
class KeptCaller
{
public:
    explicit KeptCaller(const std::string &address)
        : m_socket(m_context)
    {
        m_socket.connect(core::value(http::parseAddress(address)));
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /** The request id and status of the next response; empty if the connection ends before all of it has come. */
    std::string receive()
    {
        boost::beast::http::response<boost::beast::http::string_body> response;
        boost::system::error_code failure;
        boost::beast::http::read(m_socket, m_buffer, response, failure);
        if (failure) {
            return {};
        }
        return std::string(response["X-Request-Id"]) + fmt::format(" {}", response.result_int());
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

using Received = std::vector<std::string>;

Received reuseIdleConnection(const std::string &address)
{
    KeptCaller caller(address);
    caller.send(encodeRead("first"));
    Received received{caller.receive()};
    std::this_thread::sleep_for(ReusedAfter);
    caller.send(encodeRead("after-rest"));
    received.push_back(caller.receive());
    return received;
}

Received sendHeadSlowly(const std::string &address)
{
    constexpr int Pieces = 20;
    KeptCaller caller(address);
    Received received;
    for (const std::string id : {"slow-head", "slow-head-on-kept"}) {
        const auto request = encodeRead(id);
        const auto length = request.size() / Pieces + 1;
        for (std::size_t sent = 0; sent < request.size(); sent += length) {
            caller.send(request.substr(sent, length));
            std::this_thread::sleep_for((HeaderTimeout - 200ms) / Pieces);
        }
        received.push_back(caller.receive());
    }
    return received;
}

Received sendBehindLongRequest(const std::string &address)
{
    KeptCaller caller(address);
    const auto second = encodeRead("behind");
    caller.send(encodeRead("long"));
    std::this_thread::sleep_for(100ms);
    caller.send(second.substr(0, second.size() / 2));
    Received received{caller.receive()};
    std::this_thread::sleep_for(HeaderTimeout - 200ms);
    caller.send(second.substr(second.size() / 2));
    received.push_back(caller.receive());
    return received;
}

Received keepOldConnection(const std::string &address)
{
    KeptCaller caller(address);
    Received received;
    for (const std::string id : {"old-1", "old-2"}) {
        auto request = encodeRead(id);
        request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
        request.insert(request.size() - 2, "Connection: keep-alive\r\n");
        caller.send(request);
        received.push_back(caller.receive());
    }
    return received;
}

Received sendBodySlowly(const std::string &address)
{
    KeptCaller caller(address);
    caller.send("POST /b/x HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: slow-body\r\nX-Timeout-Ms: 14000\r\n"
                "Content-Length: 8\r\n\r\nabcd");
    std::this_thread::sleep_for(HeaderTimeout);
    caller.send("efgh");
    return {caller.receive()};
}

} // namespace

// Guards against requests in progress that are cut by a time-out of the connection at rest or of a head.
TEST_CASE("no time-out of a connection ends a request on it whose caller keeps to the limits of the configuration")
{
    PlatformFleet fleet(168, 1, 14s);
    PlatformTarget target("i-mixed", fleet.targetAddress(0), 1ms, [](const ReceivedRequest &request) {
        if (request.id == "long") {
            std::this_thread::sleep_for(LongProcessing);
        }
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    struct Case {
        std::function<Received(const std::string &)> run;
        Received expected;
        Received received{};
    };
    std::vector<Case> cases{
        {reuseIdleConnection, {"first 200", "after-rest 200"}},
        {sendHeadSlowly, {"slow-head 200", "slow-head-on-kept 200"}},
        {sendBehindLongRequest, {"long 200", "behind 200"}},
        {keepOldConnection, {"old-1 200", "old-2 200"}},
        {sendBodySlowly, {"slow-body 200"}},
    };
    std::vector<std::thread> callers;
    callers.reserve(cases.size());
    for (auto &each : cases) {
        callers.emplace_back([&each, address = fleet.callerAddress(0)]() {
            each.received = each.run(address);
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    for (const auto &each : cases) {
        CHECK(each.received == each.expected);
    }
}
