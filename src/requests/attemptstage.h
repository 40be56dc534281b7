/**
 * @file
 * What the point that an attempt reached proves of the request's run.
 */
#pragma once

#include "core/enumtable.h"
#include "requests/outcome.h"

#include <array>
#include <cstdint>

namespace pimentoshed::requests
{

/** How far an attempt came. Later rows come later in an attempt. */
enum class AttemptStage : std::uint8_t {
    /** No connection to the target. */
    NotConnected,
    /** Connected; the operating system took fewer bytes of the request's head than make it whole. */
    HeadIncomplete,
    /** The whole head was handed to the operating system; nothing is known of the target. */
    HeadSent,
    /** The target refused the request by its own 503. */
    Shed,
    /** The target's final answer has begun. */
    AnswerStarted,
    /** The target's whole answer was read. */
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

/** What @p stage proves. @p shedIsNotRun says whether the service declares that its 503 means not run. */
RunState provenRunState(AttemptStage stage, bool shedIsNotRun);

} // namespace pimentoshed::requests
