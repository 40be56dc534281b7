/**
 * @file
 * Checks the records of a soak against what the system promises.
 */
#pragma once

#include "soak/records.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::soak
{

enum class Promise : std::uint8_t {
    WholeAnswer,
    AtMostOnce,
    NotRunIsTrue,
    ReadyAnswerDelivered,
    StopCutsNothing,
    NothingAfterLeaving,
    NothingInDomainOut,
    ConfigurationNeverOlder,
    ConfigurationInForce,
    Recovery,
};

inline constexpr std::array PromiseNames{
    core::EnumName<Promise>{Promise::WholeAnswer, "whole-answer"},
    core::EnumName<Promise>{Promise::AtMostOnce, "at-most-once"},
    core::EnumName<Promise>{Promise::NotRunIsTrue, "not-run-is-true"},
    core::EnumName<Promise>{Promise::ReadyAnswerDelivered, "ready-answer-delivered"},
    core::EnumName<Promise>{Promise::StopCutsNothing, "stop-cuts-nothing"},
    core::EnumName<Promise>{Promise::NothingAfterLeaving, "nothing-after-leaving"},
    core::EnumName<Promise>{Promise::NothingInDomainOut, "nothing-in-domain-out"},
    core::EnumName<Promise>{Promise::ConfigurationNeverOlder, "configuration-never-older"},
    core::EnumName<Promise>{Promise::ConfigurationInForce, "configuration-in-force"},
    core::EnumName<Promise>{Promise::Recovery, "recovery"},
};

/** A broken promise, what shows it, and the processes whose logs tell more. */
struct BrokenPromise {
    Promise promise = Promise::WholeAnswer;
    std::string detail;
    std::vector<std::string> hosts;
    core::TimePoint at{};
};

/** Adds @p found unless @p broken has one of its kind. Returns whether it was added. */
bool addIfFirst(std::vector<BrokenPromise> &broken, BrokenPromise found);

/** Returns the first broken promise of each kind. Requests that have not ended are not checked yet. */
std::vector<BrokenPromise> findBrokenPromises(const Records &records);

} // namespace pimentoshed::soak
