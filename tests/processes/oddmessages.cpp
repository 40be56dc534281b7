#include "processes/platformfleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pimentoshed;
using namespace pimentoshed::processes;

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

/** Whether the process still runs. */
bool isRunning(const Process &process)
{
    return kill(process.pid(), 0) == 0;
}

} // namespace

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
