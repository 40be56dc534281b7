#include "processes/platformfleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <map>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned Hosts = 3;
constexpr double Rate = 5;
constexpr double Burst = 5;
/** The most requests in 5 s. */
constexpr unsigned Bound = 53;

/** Three entry hosts with a target, and two workspaces of which one is limited. */
class Fixture
{
protected:
    Fixture()
    {
        REQUIRE(target.announce(fleet.controlAddress()) == 200);
        const auto document = fmt::format(
            R"({{"version":"00000002","base_version":"00000001","routes":{{
                "reads":{{"hostname":"loans.example","path_prefix":"/a/","kind":"safe","timeout":"5000ms",
                          "service":"loans"}}}},
              "services":{{"loans":{{"health_path":"/health","max_conns":260,"cold":"3s","cold_per_s":200.0}}}},
              "limits":{{}},
              "tenants":{{"huka":{{"api_keys":["key-of-huka"],"rate_per_s":{},"burst":{}}},
                          "lena":{{"api_keys":["key-of-lena"]}}}}}})",
            Rate,
            Burst);
        const auto applied = sendRequest(fleet.controlAddress(), "/config", "PUT", document);
        REQUIRE(core::ok(applied));
        REQUIRE(core::value(applied).status == 200);
        for (unsigned host = 0; host < Hosts; ++host) {
            REQUIRE(eventually(
                [this, host]() {
                    return request(host, "lena").status == 200;
                },
                5s));
        }
        // A new leader knows who is over the quota after 5.7 s, and a new entry host may use the reserve after 6 s.
        std::this_thread::sleep_for(6s);
    }

    http::ClientAnswer request(unsigned host, const std::string &workspace)
    {
        http::ClientRequest request;
        request.target = "/a/x";
        request.headers = {{"Host", "loans.example"},
                           {"X-Request-Id", fmt::format("{}-{}", workspace, ++m_last)},
                           {"X-Timeout-Ms", "2000"},
                           {"Authorization", "Bearer key-of-" + workspace}};
        const auto answer = http::fetch(fleet.callerAddress(host), request, 3s);
        return core::ok(answer) ? core::value(answer) : http::ClientAnswer{};
    }

    /** Sends requests of the limited workspace to all hosts for @p length. Returns their number by status. */
    std::map<unsigned, unsigned> press(core::Duration length)
    {
        std::map<unsigned, unsigned> statuses;
        const auto end = core::steadyNow() + length;
        for (unsigned sent = 0; core::steadyNow() < end; ++sent) {
            const auto answer = request(sent % Hosts, "huka");
            ++statuses[answer.status];
            if (answer.status == 429) {
                refused = answer;
            }
            std::this_thread::sleep_for(5ms);
        }
        return statuses;
    }

    PlatformFleet fleet{91, Hosts, 5s};
    PlatformTarget target{"i-one", fleet.targetAddress(0), 1ms, [](const ReceivedRequest & /*request*/) {
                              return http::Reply{};
                          }};
    http::ClientAnswer refused;

private:
    std::atomic<unsigned> m_last{0};
};

} // namespace

TEST_CASE_METHOD(Fixture, "the requests of a workspace stay within its limit over all entry hosts")
{
    auto statuses = press(4s);
    CHECK(statuses[200] >= 2 * Rate);
    CHECK(statuses[200] <= Bound);
    REQUIRE(statuses[429] > 0);
    CHECK(std::stod(http::headerOf(refused, "Retry-After")) > 0);
    CHECK_THAT(refused.body, Catch::Matchers::Contains("\"code\":4016"));
    // Others are not limited.
    CHECK(request(0, "lena").status == 200);
    const auto callers = fleet.callerAddress(0);
    const auto metrics = sendRequest(callers.substr(0, callers.find(':')) + ":8542", "/metrics");
    REQUIRE(core::ok(metrics));
    CHECK_THAT(
        core::value(metrics).body,
        Catch::Matchers::Contains(R"(pimentoshed_quota_decisions_total{verdict="over-quota",workspace="huka"})"));
    CHECK_THAT(fleet.entryLog(0), Catch::Matchers::Contains("workspace-over-quota"));
}

TEST_CASE_METHOD(Fixture, "entry hosts that the control host doesn't answer keep within the quota, and recover")
{
    fleet.control().signal(SIGSTOP);
    auto statuses = press(2s);
    CHECK(statuses[200] > 0);
    CHECK(statuses[200] <= Bound);
    CHECK(statuses[503] > 0);
    fleet.control().signal(SIGCONT);
    CHECK(eventually(
        [this]() {
            return request(0, "huka").status == 200;
        },
        10s));
}
