#include "requests/attemptstage.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using requests::AttemptStage;
using requests::provenRunState;
using requests::RunState;

TEST_CASE("not run is proven only before the whole head is sent, or by a 503 that the service declares as not run")
{
    for (const bool isDeclared : {false, true}) {
        CHECK(provenRunState(AttemptStage::NotConnected, isDeclared) == RunState::NotRun);
        CHECK(provenRunState(AttemptStage::HeadIncomplete, isDeclared) == RunState::NotRun);
        CHECK(provenRunState(AttemptStage::HeadSent, isDeclared) == RunState::Unknown);
        CHECK(provenRunState(AttemptStage::AnswerStarted, isDeclared) == RunState::Unknown);
        CHECK(provenRunState(AttemptStage::AnswerWhole, isDeclared) == RunState::Ran);
    }
    CHECK(provenRunState(AttemptStage::Shed, true) == RunState::NotRun);
    CHECK(provenRunState(AttemptStage::Shed, false) == RunState::Unknown);
}

TEST_CASE("each attempt stage has a name")
{
    for (const auto &row : requests::AttemptStageNames) {
        CHECK(core::valueOf(requests::AttemptStageNames, row.name) == row.value);
    }
    CHECK(core::nameOf(requests::AttemptStageNames, AttemptStage::Shed) == "shed");
}
