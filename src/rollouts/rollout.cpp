#include "rollouts/rollout.h"

#include "core/text.h"

#include <algorithm>
#include <fmt/format.h>

namespace pimentoshed::rollouts
{

core::Status check(const Order &order)
{
    const auto &version = order.softwareVersion;
    if (version.empty() || version.size() > MaxVersionLength || !core::isVisibleAscii(version)) {
        return core::Error{core::ErrorCode::ConfigOutOfBounds,
                           fmt::format("a software version has 1 to {} printable characters", MaxVersionLength)};
    }
    if (order.over < MinOver || order.over > MaxOver) {
        return core::Error{core::ErrorCode::ConfigOutOfBounds,
                           fmt::format("the time of a rollout is {} s: expected {} to {} s",
                                       core::toSeconds(order.over),
                                       core::toSeconds(MinOver),
                                       core::toSeconds(MaxOver))};
    }
    return std::monostate{};
}

core::Status Rollout::apply(const Move &move)
{
    const bool isLastStep = step + 1 == Steps.size();
    const bool isPossible = move.kind == MoveKind::RollBack || isLastStep == (move.kind == MoveKind::Complete);
    if (state != State::Running || move.number != number || move.step != step || !isPossible) {
        return core::Error{core::ErrorCode::ChangeSuperseded,
                           fmt::format("rollout {} of {} is {} at step {}",
                                       number,
                                       order.service.str(),
                                       core::nameOf(StateNames, state),
                                       step)};
    }
    elapsed = std::max(elapsed, move.elapsed);
    switch (move.kind) {
    case MoveKind::Advance:
        ++step;
        break;
    case MoveKind::Complete:
        state = State::Complete;
        break;
    case MoveKind::RollBack:
        state = State::RolledBack;
        reason = move.reason;
        break;
    }
    return std::monostate{};
}

double Rollout::share() const
{
    constexpr double Whole = 1000;
    switch (state) {
    case State::Running:
        return Steps.at(step).permille / Whole;
    case State::Complete:
        return 1;
    case State::RolledBack:
        break;
    }
    return 0;
}

bool isValid(const Rollout &rollout)
{
    return !core::nameOf(StateNames, rollout.state).empty() && !core::nameOf(ReasonNames, rollout.reason).empty()
           && rollout.step < Steps.size() && rollout.number > 0 && core::ok(check(rollout.order))
           && rollout.elapsed >= core::Duration{};
}

} // namespace pimentoshed::rollouts
