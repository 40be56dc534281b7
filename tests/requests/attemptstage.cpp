#include "requests/attemptstage.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using requests::AttemptStage;
using requests::provenRunState;
using requests::RunState;

TEST_CASE("only an attempt without a whole head, or shed as declared, proves that nothing ran")
{
    for (const bool declared : {false, true}) {
        CHECK(provenRunState(AttemptStage::NotConnected, declared) == RunState::NotRun);
        CHECK(provenRunState(AttemptStage::HeadIncomplete, declared) == RunState::NotRun);
        CHECK(provenRunState(AttemptStage::HeadSent, declared) == RunState::Unknown);
        CHECK(provenRunState(AttemptStage::AnswerStarted, declared) == RunState::Unknown);
        CHECK(provenRunState(AttemptStage::AnswerWhole, declared) == RunState::Ran);
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
