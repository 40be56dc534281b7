#include "http/client.h"

#include "http/fakes.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::http::fakes;
using namespace std::chrono_literals;

TEST_CASE("a client takes no response that is malformed, truncated or reset before its end")
{
    const auto bytes = GENERATE(as<std::string>{},
                                "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
                                "HTTP/1.1 200 OK\r\nX-A B: 1\r\nContent-Length: 2\r\n\r\nok",
                                "HTTP/1.1 200 OK\r\nX-A\x01: 1\r\nContent-Length: 2\r\n\r\nok",
                                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                                "HTTP/1.1 200 OK\r\n\r\nok");
    const std::size_t bodyBytes = GENERATE(0, 16'000'000);
    CAPTURE(bytes, bodyBytes);
    ScriptedTarget server([&bytes](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.write(bytes);
        std::this_thread::sleep_for(20ms);
        socket.reset();
    });
    const auto answer = http::fetch(server.address(), {"PUT", "/", {}, std::string(bodyBytes, 'b')}, 5s);
    REQUIRE_FALSE(core::ok(answer));
    CHECK(core::error(answer).code == core::ErrorCode::PeerUnreachable);
}
