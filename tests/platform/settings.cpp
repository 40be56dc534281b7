#include "platform/settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace pimentoshed;

namespace
{

const std::string ValidSettings = R"(
node_name = "front-1"
ip = "10.1.0.34"
zone = "ravne"
port_range = [7540,7555]
seeds = ["10.1.0.37:8544","10.2.0.37:8544"]
bootstrap = true
heartbeat = "1500ms"
bounds = ["grace=6s","ttl_max=5s","retry_ratio=0.2","retry_slack=62","new=kind"]
unheard_of = 7
[zones]
ravne = "koroska"
mezica = "koroska"
[listen]
front = "10.1.0.34:8548"
[fault_tolerance]
machines = 1
[limits]
cpu_share = 0.2
)";

core::Result<platform::Settings> read(const std::string &text)
{
    const auto path = std::filesystem::temp_directory_path() / "pimentoshed-settings-test.toml";
    std::ofstream(path) << text;
    return platform::readSettings(path.string());
}

} // namespace

TEST_CASE("settings are read into their fields and unknown keys are ignored")
{
    const auto settings = read(ValidSettings);
    REQUIRE(core::ok(settings));
    const auto &known = core::value(settings);
    CHECK(known.rpcPort == 7540);
    CHECK(known.controlIps == std::vector<std::string>{"10.1.0.37", "10.2.0.37"});
    CHECK(known.domains.size() == 2);
    CHECK(known.isFirstStart);
    CHECK(known.stopGracePeriod == std::chrono::seconds(6));
    CHECK(known.retrySlack == 62);
    CHECK(known.cpuShare == Approx(0.2));
    CHECK(known.callerListen == "10.1.0.34:8548");
    CHECK(known.readyListen.empty());
}

TEST_CASE("one error lists all mistakes in the settings")
{
    const auto settings =
        read("ip = 7\nport_range = [0]\nheartbeat = \"soon\"\nbounds = [\"grace=never\"]\nlimits.cpu_share = 0\n");
    REQUIRE_FALSE(core::ok(settings));
    const auto &detail = core::error(settings).detail;
    for (const auto *key :
         {"node_name", "ip", "zone", "port_range", "heartbeat", "grace", "fault_tolerance", "cpu_share"}) {
        CHECK(detail.find(key) != std::string::npos);
    }
}

TEST_CASE("settings without time between two announcements of a target are refused")
{
    const auto settings = read(std::string("heartbeat = \"0ms\"\n"));
    REQUIRE_FALSE(core::ok(settings));
    CHECK(core::error(settings).detail.find("heartbeat") != std::string::npos);
}

TEST_CASE("fail_closed is true or false, and false unless it is given")
{
    const auto withBound = [](const std::string &bound) {
        auto text = ValidSettings;
        const std::string place = "\"new=kind\"";
        return read(text.replace(text.find(place), place.size(), "\"" + bound + "\""));
    };
    CHECK_FALSE(core::value(read(ValidSettings)).failClosed);
    CHECK_FALSE(core::value(withBound("fail_closed=false")).failClosed);
    CHECK(core::value(withBound("fail_closed=true")).failClosed);
    CHECK_FALSE(core::ok(withBound("fail_closed=maybe")));
}

TEST_CASE("a duration is a number with the unit ms or s")
{
    CHECK(core::value(platform::parseDuration("1500ms")) == std::chrono::milliseconds(1500));
    CHECK(core::value(platform::parseDuration("2.5s")) == std::chrono::milliseconds(2500));
    for (const auto *text : {"", "s", "5", "5m", "-1s", "1e99s", "nans"}) {
        CHECK_FALSE(core::ok(platform::parseDuration(text)));
    }
}
