#include "processes/platformfleet.h"

#include "http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** How long a caller waits before it leaves. */
constexpr auto Stay = 200ms;
/** Bytes of a long body: more than a host keeps, and less than it and the connection hold without reading on. */
constexpr std::size_t LongBody = 100'000;

/** How a caller frames the body of its request. */
enum class Framing : std::uint8_t {
    Length,
    Chunks,
};

std::string encodeOrder(const std::string &id, Framing framing, std::size_t bodyBytes)
{
    const std::string body(bodyBytes, 'x');
    const auto head = fmt::format("POST /b/x HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: {}\r\n"
                                  "X-Timeout-Ms: 3000\r\n",
                                  id);
    if (framing == Framing::Length) {
        return head + fmt::format("Content-Length: {}\r\n\r\n{}", bodyBytes, body);
    }
    return head + fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", bodyBytes, body);
}

/** Sends @p request to @p address and closes the connection after @p wait, without reading a response. */
void sendAndLeave(const std::string &address, const std::string &request, core::Duration wait)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(core::value(http::parseAddress(address)));
    boost::asio::write(socket, boost::asio::buffer(request));
    std::this_thread::sleep_for(wait);
}

} // namespace

// Guards against requests with bodies in chunks, or with long bodies, that reach a target after their callers have
// left.
TEST_CASE("a request that waits for a target is dropped when its caller leaves, whatever the framing of its body")
{
    PlatformFleet fleet(83, 1, 5s);
    // Never idle for late requests, so that they wait for a third of their time.
    PlatformTarget target("i-busy", fleet.targetAddress(0), 1ms, [](const ReceivedRequest &) {
        http::Reply reply;
        reply.headers.emplace_back("X-Load", "4,0,6,150");
        return reply;
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    std::vector<std::thread> callers;
    for (const auto framing : {Framing::Length, Framing::Chunks}) {
        for (const auto bytes : {std::size_t{10}, LongBody}) {
            for (unsigned i = 0; i < 5; ++i) {
                const auto id = fmt::format("left-{}-{}-{}", static_cast<int>(framing), bytes, i);
                callers.emplace_back([&fleet, request = encodeOrder(id, framing, bytes)]() {
                    sendAndLeave(fleet.callerAddress(0), request, Stay);
                });
            }
        }
        callers.emplace_back([&fleet, request = encodeOrder("stayed", framing, 10)]() {
            sendAndLeave(fleet.callerAddress(0), request, 3s);
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    std::vector<std::string> late;
    std::size_t served = 0;
    for (const auto &request : target.requests()) {
        if (request.id.starts_with("left")) {
            late.push_back(request.id);
        }
        served += request.id == "stayed" ? 1 : 0;
    }
    CHECK_THAT(late, Catch::Matchers::Equals(std::vector<std::string>()));
    CHECK(served == 2);
}
