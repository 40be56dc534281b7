#include "platform/announcement.h"

#include "core/text.h"
#include "rollouts/rollout.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using targets::Condition;

namespace
{

const core::TargetId Id("i-1");
const std::vector<core::FailureDomain> Domains{core::FailureDomain("ravne")};

core::Result<targets::Target> read(const std::string &body)
{
    return platform::readAnnouncement(Id, body, Domains);
}

} // namespace

TEST_CASE("an announcement is decoded into a target with its condition and announcement version")
{
    const auto target = read(R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","version":"v1","slots":6,)"
                             R"("state":"ready","cold_left":"1.5s","seq":4,"born":17})");
    REQUIRE(core::ok(target));
    CHECK(core::value(target).id == Id);
    CHECK(core::value(target).slots == 6);
    CHECK(core::value(target).condition == Condition::Cold);
    CHECK(core::value(target).softwareVersion == "v1");
    CHECK(core::value(target).version == targets::AnnouncementVersion{17, 4});
    const auto leaving = read(R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","slots":6,)"
                              R"("state":"draining","cold_left":"0ms","seq":5,"born":17})");
    CHECK(core::value(leaving).condition == Condition::Leaving);
}

TEST_CASE("malformed announcements are refused with AnnouncementMalformed")
{
    const auto body =
        GENERATE(as<std::string>{},
                 "",
                 "[]",
                 "{\"service\":",
                 "\xff\xfe",
                 R"({"address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"ready","seq":4})",
                 R"({"service":3,"address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"ready","seq":4})",
                 R"({"service":"s","address":"here","zone":"ravne","slots":6,"state":"ready","seq":4})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"x","slots":6,"state":"ready","seq":4})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"odd","seq":4})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","slots":-1,"state":"ready","seq":4})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"ready","seq":4,)"
                 R"("born":"now"})");
    const auto target = read(body);
    REQUIRE_FALSE(core::ok(target));
    CHECK(core::error(target).code == core::ErrorCode::AnnouncementMalformed);
}

// Guards against a version that is cut inside a character, which an earlier feed could not carry.
TEST_CASE("a long version is cut at the end of a character")
{
    for (const std::string character : {"\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x9a\x8c"}) {
        for (std::size_t before = 0; before < character.size(); ++before) {
            std::string version(before, 'v');
            while (version.size() <= rollouts::MaxVersionLength) {
                version += character;
            }
            const auto target =
                read(R"({"service":"s","address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"ready",)"
                     R"("seq":4,"version":")"
                     + version + "\"}");
            REQUIRE(core::ok(target));
            const auto &kept = core::value(target).softwareVersion;
            CHECK(core::isReadable(kept));
            CHECK(version.starts_with(kept));
            CHECK(kept.size() > rollouts::MaxVersionLength - character.size());
        }
    }
}

TEST_CASE("announcements with names that nobody can read are refused")
{
    const auto [service, version] = GENERATE(table<std::string, std::string>(
        {{R"(a\u0000b)", "v1"}, {R"(a\nb)", "v1"}, {std::string(30'000, 'a'), "v1"}, {"s", R"(a\u0000b)"}}));
    const auto target = read(R"({"address":"10.0.0.1:80","zone":"ravne","slots":6,"state":"ready","seq":4,"service":")"
                             + service + R"(","version":")" + version + "\"}");
    REQUIRE_FALSE(core::ok(target));
    CHECK(core::error(target).code == core::ErrorCode::AnnouncementMalformed);
}

TEST_CASE("the id in the path is decoded, and refused if it can't be a header's value")
{
    CHECK(core::value(platform::readTargetId("i-7f3a91c2")) == core::TargetId("i-7f3a91c2"));
    CHECK(core::value(platform::readTargetId("10.0.0.1%3A80")) == core::TargetId("10.0.0.1:80"));
    for (const std::string encoded :
         {"", "i-\xff\xfe\x80", "i-%ff", "i-%00", "i-%0d%0a", "i-%20", "i-%", "i-%4", "i-%4g"}) {
        CAPTURE(encoded);
        const auto id = platform::readTargetId(encoded);
        REQUIRE_FALSE(core::ok(id));
        CHECK(core::error(id).code == core::ErrorCode::AnnouncementMalformed);
    }
    CHECK_FALSE(core::ok(platform::readTargetId(std::string(65'536, 'i'))));
}

TEST_CASE("a removal without a body is ordered after the latest announcement of the target")
{
    targets::Target known;
    known.id = Id;
    known.version = {17, 40};
    known.condition = Condition::Warm;
    const auto removal = platform::readRemoval(Id, "", known);
    REQUIRE(core::ok(removal));
    CHECK(core::value(removal).condition == Condition::Gone);
    CHECK(core::value(removal).version == targets::AnnouncementVersion{17, 41});
    CHECK_FALSE(core::ok(platform::readRemoval(Id, "", std::nullopt)));
    CHECK(core::value(platform::readRemoval(Id, R"({"born":18})", known)).version.incarnation == 18);
}

TEST_CASE("only a removal with a readable start of the target names an incarnation")
{
    CHECK(platform::namesIncarnation(R"({"born":18})"));
    CHECK_FALSE(platform::namesIncarnation(""));
    CHECK_FALSE(platform::namesIncarnation("[18]"));
    CHECK_FALSE(platform::namesIncarnation(R"({"seq":18})"));
}
