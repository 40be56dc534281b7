#include "http/address.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

TEST_CASE("IP:PORT is parsed")
{
    const auto parsed = http::parseAddress("127.0.1.7:8080");
    REQUIRE(core::ok(parsed));
    CHECK(core::value(parsed).port() == 8080);
    CHECK(core::value(parsed).address().to_string() == "127.0.1.7");
}

TEST_CASE("what is not IP:PORT is refused")
{
    for (const auto *text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"}) {
        INFO(text);
        CHECK(!core::ok(http::parseAddress(text)));
    }
}
