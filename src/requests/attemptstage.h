/**
 * @file
 * Stages of an attempt, and what they prove about whether the request ran.
 */
#pragma once

#include "core/enumtable.h"
#include "requests/outcome.h"

#include <array>
#include <cstdint>

namespace pimentoshed::requests
{

/** The last stage that an attempt reached, in the order of the stages. */
enum class AttemptStage : std::uint8_t {
    /** No connection to the target. */
    NotConnected,
    /** Connected; the operating system accepted only a part of the request's head. */
    HeadIncomplete,
    /** The operating system accepted the whole head; whether the target received it is unknown. */
    HeadSent,
    /** The target refused the request with status 503. */
    Shed,
    /** The target's final response has begun. */
    AnswerStarted,
    /** The target's whole response was read. */
    AnswerWhole,
};

inline constexpr std::array AttemptStageNames{
    core::EnumName<AttemptStage>{AttemptStage::NotConnected, "not-connected"},
    core::EnumName<AttemptStage>{AttemptStage::HeadIncomplete, "head-incomplete"},
    core::EnumName<AttemptStage>{AttemptStage::HeadSent, "head-sent"},
    core::EnumName<AttemptStage>{AttemptStage::Shed, "shed"},
    core::EnumName<AttemptStage>{AttemptStage::AnswerStarted, "answer-started"},
    core::EnumName<AttemptStage>{AttemptStage::AnswerWhole, "answer-whole"},
};

/** The run state that @p stage proves. @p shedIsNotRun is whether the service declares that its 503 means not run. */
RunState provenRunState(AttemptStage stage, bool shedIsNotRun);

} // namespace pimentoshed::requests
