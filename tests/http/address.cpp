#include "http/address.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

TEST_CASE("parseAddress accepts IP:PORT")
{
    const auto parsed = http::parseAddress("127.0.1.7:8080");
    REQUIRE(core::ok(parsed));
    CHECK(core::value(parsed).port() == 8080);
    CHECK(core::value(parsed).address().to_string() == "127.0.1.7");
}

TEST_CASE("parseAddress refuses text that is not IP:PORT")
{
    for (const auto *text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"}) {
        INFO(text);
        CHECK(!core::ok(http::parseAddress(text)));
    }
}
