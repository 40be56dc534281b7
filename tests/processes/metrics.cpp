#include "processes/harness.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using nlohmann::json;

namespace
{

std::string bodyOf(const std::string &address, const std::string &path)
{
    const auto answer = sendRequest(address, path);
    REQUIRE(core::ok(answer));
    REQUIRE(core::value(answer).status == 200);
    return core::value(answer).body;
}

/** The value of the sample @p name, which includes the labels. */
double sample(const std::string &exposition, const std::string &name)
{
    const auto at = exposition.find("\n" + name + " ");
    REQUIRE(at != std::string::npos);
    return std::stod(exposition.substr(at + name.size() + 2));
}

std::size_t countOf(const json &targets, const std::string &condition)
{
    return static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&condition](const json &target) {
        return target.at("condition") == condition;
    }));
}

void checkControl(const Fleet &fleet)
{
    const auto state = json::parse(bodyOf(fleet.operatorAddress(), "/pimentoshed/v1/state"));
    const auto metrics = bodyOf(fleet.operatorAddress(), "/metrics");
    CHECK(sample(metrics, "pimentoshed_revision") == state["standing"]["revision"].get<double>());
    CHECK(sample(metrics, "pimentoshed_entry_hosts") == static_cast<double>(state["entry_hosts"].size()));
    CHECK(sample(metrics, R"(pimentoshed_targets{condition="warm"})") == state["targets"].get<double>());
    CHECK(sample(metrics, "pimentoshed_storage_working") == 1);
    CHECK(sample(metrics, R"(pimentoshed_control_messages_total{direction="in",kind="follow-request"})") > 0);
    CHECK(sample(metrics, R"(pimentoshed_control_bytes_total{direction="out",kind="follow-reply"})") > 0);
    CHECK(sample(metrics, "process_resident_memory_bytes") > 0);
}

void checkEntryState(const Fleet &fleet)
{
    const auto state = json::parse(bodyOf(fleet.platformAddress(0), "/pimentoshed/v1/state"));
    const auto metrics = bodyOf(fleet.platformAddress(0), "/metrics");
    CHECK(sample(metrics, "pimentoshed_revision") == state["revision"].get<double>());
    CHECK(sample(metrics, "pimentoshed_current") == (state["current"].get<bool>() ? 1 : 0));
    CHECK(sample(metrics, "pimentoshed_entry_hosts") == state["entry_hosts"].get<double>());
    CHECK(sample(metrics, "pimentoshed_requests_in_progress") == state["in_progress"].get<double>());
    for (const std::string condition : {"cold", "warm", "leaving", "gone"}) {
        const auto name = "pimentoshed_targets{condition=\"" + condition + "\"}";
        CHECK(sample(metrics, name) == static_cast<double>(countOf(state["targets"], condition)));
    }
}

/**
 * Whether the sample @p name of entry host e0 becomes @p value. A request is counted after its response has been sent,
 * so that a caller can read the metrics before that.
 */
bool becomes(const Fleet &fleet, const std::string &name, double value)
{
    return eventually(
        [&]() {
            const auto exposition = bodyOf(fleet.platformAddress(0), "/metrics");
            return exposition.find("\n" + name + " ") != std::string::npos && sample(exposition, name) == value;
        },
        std::chrono::seconds(2));
}

void checkEntryRequests(const Fleet &fleet, double answered)
{
    CHECK(becomes(fleet, R"(pimentoshed_requests_total{outcome="answered",service="catalogue"})", answered));
    CHECK(becomes(fleet, R"(pimentoshed_request_added_seconds_count{service="catalogue"})", answered));
    CHECK(becomes(fleet, R"(pimentoshed_requests_total{outcome="request-key-missing",service="loans"})", 1));
    CHECK(becomes(fleet, R"(pimentoshed_requests_total{outcome="no-such-service",service=""})", 1));
    const auto metrics = bodyOf(fleet.platformAddress(0), "/metrics");
    CHECK(sample(metrics, R"(pimentoshed_requests_total{outcome="answered",service="catalogue"})") == answered);
    CHECK(sample(metrics, R"(pimentoshed_request_duration_seconds_count{service="catalogue"})") == answered);
    CHECK(sample(metrics, "process_cpu_seconds_total") > 0);
}

} // namespace

TEST_CASE("metrics and the state dump agree on control hosts and entry hosts")
{
    Fleet fleet(16, 3);
    REQUIRE(fleet.run({"apply", "--at=" + fleet.operatorAddress(), PIMENTOSHED_SOURCE "/examples/library.toml"}) == 0);
    fleet.addTargets("catalogue", 4);
    REQUIRE(fleet.waitUntilReady(4));
    constexpr unsigned Requests = 7;
    for (unsigned i = 0; i < Requests; ++i) {
        REQUIRE(core::ok(sendRequest(fleet.callerAddress(0), "/catalogue/1")));
    }
    REQUIRE(core::ok(sendRequest(fleet.callerAddress(0), "/loans/", "POST", "card 17")));
    REQUIRE(core::ok(sendRequest(fleet.callerAddress(0), "/nowhere/")));
    checkControl(fleet);
    checkEntryState(fleet);
    checkEntryRequests(fleet, Requests);
}
