#include "requests/requestsinprogress.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace pimentoshed;
using namespace pimentoshed::requests;
using namespace std::chrono_literals;

namespace
{

constexpr core::TimePoint Now{100s};

RequestInProgress makeRequest(std::string id)
{
    RequestInProgress request;
    request.id = std::move(id);
    request.arrival = Now;
    request.deadline = Now + 4s;
    request.phaseStart = Now;
    request.service = core::ServiceName("loans");
    return request;
}

} // namespace

TEST_CASE("a request in progress is listed with its target from its sending until its row ends")
{
    RequestsInProgress table;
    std::optional<RequestsInProgress::Row> first(std::in_place, table, makeRequest("first"));
    RequestsInProgress::Row second(table, makeRequest("second"));
    first->sendTo(core::TargetId("i-1"), core::ServiceName("searches"), Now + 1s);

    const auto both = table.all();
    REQUIRE(both.size() == 2);
    CHECK(both[0].id == "first");
    CHECK(both[0].phase == RequestPhase::Response);
    CHECK(both[0].target == core::TargetId("i-1"));
    CHECK(both[0].service == core::ServiceName("searches"));
    CHECK(both[0].phaseStart == Now + 1s);
    CHECK(both[1].phase == RequestPhase::Assignment);
    CHECK_FALSE(both[1].target);

    first->awaitAssignment(Now + 2s);
    CHECK(table.all()[0].phase == RequestPhase::Assignment);
    CHECK(table.all()[0].phaseStart == Now + 2s);
    first.reset();
    REQUIRE(table.all().size() == 1);
    CHECK(table.all()[0].id == "second");
}
