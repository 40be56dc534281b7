#include "processes/harness.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pimentoshed;
using namespace pimentoshed::processes;

namespace
{

const std::string LibraryFile = PIMENTOSHED_SOURCE "/examples/library.toml";

} // namespace

TEST_CASE("17 entry hosts relay requests to 36 targets once a file is applied")
{
    Fleet fleet(10, 17);
    REQUIRE(fleet.run({"apply", "--at=" + fleet.operatorAddress(), LibraryFile}) == 0);
    fleet.addTargets("catalogue", 20);
    fleet.addTargets("loans", 10);
    fleet.addTargets("fees", 6);
    REQUIRE(fleet.waitUntilReady(36));
    for (unsigned i = 0; i < 170; ++i) {
        const auto path = "/catalogue/" + std::to_string(i);
        const auto answer = sendRequest(fleet.callerAddress(i % 17), path);
        REQUIRE(core::ok(answer));
        CHECK(core::value(answer).status == 200);
        CHECK(core::value(answer).body == "GET " + path + " ");
    }
    const auto loan =
        sendRequest(fleet.callerAddress(3), "/loans/", "POST", "card 17", {{"Idempotency-Key", "loan-1"}});
    REQUIRE(core::ok(loan));
    CHECK(core::value(loan).body == "POST /loans/ card 17");
    const auto withoutKey = sendRequest(fleet.callerAddress(3), "/loans/", "POST", "card 17");
    REQUIRE(core::ok(withoutKey));
    CHECK(core::value(withoutKey).status == 400);
    CHECK(http::headerOf(core::value(withoutKey), "Pimentoshed-Run") == "not-run");

    fleet.entry(0).signal(SIGTERM);
    CHECK(fleet.entry(0).wait() == 0);
}
