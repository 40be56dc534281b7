#include "targets/target.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

namespace
{

targets::Target sound()
{
    targets::Target target;
    target.id = core::TargetId("i-1");
    target.service = core::ServiceName("knji\xc5\xbenica");
    target.domain = core::FailureDomain("ravne");
    target.address = "10.0.0.1:80";
    target.softwareVersion = "v1";
    return target;
}

} // namespace

TEST_CASE("the id of a target can be a header's value")
{
    CHECK(core::ok(targets::checkNames(sound())));
    for (const std::string id : {"", "i 1", "i-\xff", "i-\xc5\xbe", "i-\x7f", "i\r\n"}) {
        CAPTURE(id);
        auto target = sound();
        target.id = core::TargetId(id);
        const auto checked = targets::checkNames(target);
        REQUIRE_FALSE(core::ok(checked));
        CHECK(core::error(checked).code == core::ErrorCode::AnnouncementMalformed);
    }
}

TEST_CASE("the other names of a target are readable or empty")
{
    auto gone = targets::Target();
    gone.id = core::TargetId("i-1");
    CHECK(core::ok(targets::checkNames(gone)));
    for (const auto &text : {std::string("a\xff"), std::string("a\0b", 3), std::string(30'000, 'a')}) {
        CAPTURE(text);
        auto target = sound();
        target.service = core::ServiceName(text);
        CHECK_FALSE(core::ok(targets::checkNames(target)));
        target = sound();
        target.domain = core::FailureDomain(text);
        CHECK_FALSE(core::ok(targets::checkNames(target)));
        target = sound();
        target.softwareVersion = text;
        CHECK_FALSE(core::ok(targets::checkNames(target)));
    }
}
