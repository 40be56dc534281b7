#include "core/text.h"

#include "core/log.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

TEST_CASE("isReadable refuses broken UTF-8 and control characters")
{
    for (const std::string text : {"", "labels", "knji\xc5\xbenica", "\xe2\x82\xac", "\xf0\x9f\x9a\x8c"}) {
        CAPTURE(text);
        CHECK(core::isReadable(text));
    }
    // Stray bytes, truncated characters, overlong forms, a surrogate, a value beyond Unicode, control characters.
    for (const auto &text : {std::string("\xff"),
                             std::string("i-\x80"),
                             std::string("\xc3"),
                             std::string("\xe2\x82"),
                             std::string("\xf0\x9f\x9a"),
                             std::string("\xc0\xaf"),
                             std::string("\xe0\x80\xaf"),
                             std::string("\xed\xa0\x80"),
                             std::string("\xf5\x80\x80\x80"),
                             std::string("a\0b", 3),
                             std::string("a\nb"),
                             std::string("\x7f"),
                             std::string("\xc2\x85")}) {
        CAPTURE(text);
        CHECK_FALSE(core::isReadable(text));
    }
}

TEST_CASE("checkName limits the length of a name and shows the start of one that it refuses")
{
    CHECK(core::ok(core::checkName("zone", std::string(core::MaxNameBytes, 'a'))));
    const auto tooLong = core::checkName("zone", std::string(core::MaxNameBytes + 1, 'a'));
    REQUIRE_FALSE(core::ok(tooLong));
    CHECK(core::error(tooLong).code == core::ErrorCode::RequestMalformed);
    const auto broken = core::checkName("zone", "ravne\xff");
    REQUIRE_FALSE(core::ok(broken));
    CHECK(core::error(broken).detail.find("ravne\xef\xbf\xbd") != std::string::npos);
}

TEST_CASE("truncate never ends inside a character")
{
    CHECK(core::truncate("abc", 3) == "abc");
    CHECK(core::truncate("abcd", 3) == "abc");
    CHECK(core::truncate("ab\xc3\xa9", 3) == "ab");
    CHECK(core::truncate("a\xe2\x82\xac", 3) == "a");
    CHECK(core::truncate("a\xe2\x82\xac", 4) == "a\xe2\x82\xac");
    CHECK(core::truncate("\xf0\x9f\x9a\x8c", 3).empty());
    CHECK(core::truncate("\x80\x80\x80\x80\x80\x80", 5).size() == 2);
}

TEST_CASE("replaceInvalid keeps what is valid around an invalid byte")
{
    CHECK(core::replaceInvalid("caf\xc3\xa9") == "caf\xc3\xa9");
    CHECK(core::replaceInvalid("a\xff"
                               "b")
          == "a\xef\xbf\xbd"
             "b");
    CHECK(core::replaceInvalid("a\xc3"
                               "b")
          == "a\xef\xbf\xbd"
             "b");
}

// Guards against log lines that are no valid JSON.
TEST_CASE("a log field with bytes that are no UTF-8 is quoted as valid JSON")
{
    CHECK(core::jsonQuote("i-\xff") == "\"i-\xef\xbf\xbd\"");
}
