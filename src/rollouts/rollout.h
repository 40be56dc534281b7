/**
 * @file
 * A rollout: the requests of a service are moved to targets of one software version, in steps.
 */
#pragma once

#include "core/enumtable.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>

namespace pimentoshed::rollouts
{

enum class State : std::uint8_t {
    Running,
    /** All requests go to the new version. */
    Complete,
    /** No requests go to the new version. */
    RolledBack,
};

inline constexpr std::array StateNames{
    core::EnumName<State>{State::Running, "running"},
    core::EnumName<State>{State::Complete, "complete"},
    core::EnumName<State>{State::RolledBack, "rolled-back"},
};

/** Why a rollout was rolled back. */
enum class Reason : std::uint8_t {
    None,
    /** The new version fails more often than the old ones. */
    Failures,
    /** The new version is slower than the old ones. */
    Durations,
    /** A configuration file no longer has the service. */
    ServiceDropped,
};

inline constexpr std::array ReasonNames{
    core::EnumName<Reason>{Reason::None, "none"},
    core::EnumName<Reason>{Reason::Failures, "failures"},
    core::EnumName<Reason>{Reason::Durations, "durations"},
    core::EnumName<Reason>{Reason::ServiceDropped, "service-dropped"},
};

/** One step of a rollout. */
struct Step {
    /** The new version's share of the requests, in thousandths. */
    unsigned permille = 0;
    /** The earliest time of the step, as a share of the time for all steps. */
    double earliest = 0;
    /** Accepted probability of taking the step with a bad version. */
    double missRate = 0;
};

/** docs/design/rollouts.md derives the values from the exposure that a bad version may get. */
inline constexpr std::array Steps{
    Step{40, 0, 1},
    Step{120, 0.55, 1},
    Step{400, 0.70, 0.1},
    // Leaves the old versions a few requests, so that what both suffer can be told from what one does.
    Step{920, 0.80, 0.01},
    Step{1000, 1, 0.01},
};

/** What an operator orders. */
struct Order {
    core::ServiceName service;
    std::string softwareVersion;
    /** The time within which the rollout should be complete. */
    core::Duration over{};

    bool operator==(const Order &) const = default;
};

inline constexpr core::Duration MinOver = std::chrono::seconds(1);
inline constexpr core::Duration MaxOver = std::chrono::hours(24 * 7);
/** The maximum length of the name of a software version, in characters. */
inline constexpr std::size_t MaxVersionLength = 128;

/** Error: ConfigOutOfBounds. */
core::Status check(const Order &order);

enum class MoveKind : std::uint8_t {
    Advance,
    Complete,
    RollBack,
};

inline constexpr std::array MoveKindNames{
    core::EnumName<MoveKind>{MoveKind::Advance, "advance"},
    core::EnumName<MoveKind>{MoveKind::Complete, "complete"},
    core::EnumName<MoveKind>{MoveKind::RollBack, "roll-back"},
};

/** A decision about a rollout. It names the step that it leaves, so that it applies once at most. */
struct Move {
    /** The number of the rollout. */
    std::uint64_t number = 0;
    unsigned step = 0;
    MoveKind kind = MoveKind::Advance;
    Reason reason = Reason::None;
    /** Time since the order. */
    core::Duration elapsed{};

    bool operator==(const Move &) const = default;
};

/** The newest rollout of a service. */
struct Rollout {
    Order order;
    /** Rises with each rollout of the service, from 1. */
    std::uint64_t number = 1;
    State state = State::Running;
    /** Index in Steps. */
    unsigned step = 0;
    Reason reason = Reason::None;
    /** Time since the order when the step was taken. */
    core::Duration elapsed{};
    /** The revision and the file version in force after the order, which are its answer. */
    std::uint64_t revision = 0;
    std::uint64_t version = 0;

    /** Applies @p move. Error: ChangeSuperseded if it is about another rollout or step, or this one has ended. */
    core::Status apply(const Move &move);

    /** The new version's share of the requests, 0 to 1. */
    double share() const;

    bool operator==(const Rollout &) const = default;
};

/** Whether @p rollout can have come about by orders and moves. */
bool isValid(const Rollout &rollout);

} // namespace pimentoshed::rollouts
