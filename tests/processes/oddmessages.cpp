#include "processes/platformfleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <map>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

std::string repeated(const std::string &text, unsigned count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (unsigned i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

/** A valid announcement in which the value of @p member is replaced by @p value, or which has it in addition. */
std::string announcement(const std::string &member, const std::string &value)
{
    std::map<std::string, std::string> members{{"service", R"("loans")"},
                                               {"address", R"("127.72.0.100:8080")"},
                                               {"zone", R"("ravne")"},
                                               {"version", R"("v1")"},
                                               {"slots", "6"},
                                               {"state", R"("ready")"},
                                               {"cold_left", R"("0ms")"},
                                               {"seq", "4000"},
                                               {"born", "1700000000000"}};
    members[member] = value;
    std::string text;
    for (const auto &[name, each] : members) {
        text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, each);
    }
    return text + "}";
}

/** Whether the process still runs. */
bool isRunning(const Process &process)
{
    return kill(process.pid(), 0) == 0;
}

} // namespace

TEST_CASE("odd entries among the targets end no host and leave the other targets in use")
{
    PlatformFleet fleet(72, 1);
    PlatformTarget target("i-sound", fleet.targetAddress(0), 1ms, [](const ReceivedRequest &) {
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    constexpr unsigned Depth = 20000;
    const std::vector<std::string> bodies{
        repeated("[", Depth),
        repeated("[", Depth) + repeated("]", Depth),
        repeated(R"({"a":)", Depth / 2) + "1" + repeated("}", Depth / 2),
        announcement("x", repeated("[", Depth) + repeated("]", Depth)),
        announcement("slots", R"(99999999999999999999)"),
        announcement("slots", R"(18446744073709551615)"),
        announcement("seq", R"(18446744073709551615)"),
        announcement("seq", R"(1e400)"),
        announcement("born", R"(18446744073709551615)"),
        announcement("born", R"(9007199254740991)"),
        announcement("born", R"(-1)"),
        announcement("address", R"("127.72.0.100:99999")"),
        announcement("address", R"("127.72.0.100:0")"),
        announcement("address", R"("127.72.0.100:-1")"),
        announcement("address", R"("127.72.0.100:8080\u0000")"),
        announcement("cold_left", R"("1e999s")"),
        announcement("state", R"("asleep")"),
        announcement("service", R"({})"),
        "\xff\xfe",
    };
    for (const auto &body : bodies) {
        // For an id of its own, and for that of the sound target.
        for (const std::string id : {"i-odd", "i-sound"}) {
            const auto answer = sendRequest(fleet.controlAddress(), "/instances/" + id, "PUT", body);
            CAPTURE(id, body.substr(0, 200));
            CHECK(core::ok(answer));
            CHECK((core::ok(answer) ? core::value(answer).status : 0) == 400);
        }
    }
    CHECK(isRunning(fleet.control()));
    CHECK(isRunning(fleet.entry(0)));
    // Longer than a lease, so that a target whose renewals are refused would be gone.
    std::this_thread::sleep_for(7s);
    const auto answer = fleet.request(0);
    REQUIRE(core::ok(answer));
    CHECK(core::value(answer).status == 200);
}

TEST_CASE("a deeply nested file is refused and ends no control host")
{
    PlatformFleet fleet(73, 1);
    constexpr unsigned Depth = 1000000;
    for (const auto &value :
         {repeated("[", Depth) + repeated("]", Depth), repeated(R"({"a":)", Depth) + "1" + repeated("}", Depth)}) {
        const auto body =
            R"({"version":"00000002","base_version":"00000001","routes":{},"services":{},"x":)" + value + "}";
        const auto answer = sendRequest(fleet.controlAddress(), "/config", "PUT", body);
        REQUIRE(core::ok(answer));
        CHECK(core::value(answer).status == 400);
    }
    CHECK(isRunning(fleet.control()));
}
