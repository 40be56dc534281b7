/**
 * @file
 * The targets that get no new work any more, as the replicated log orders them.
 */
#pragma once

#include "targets/target.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace pimentoshed::targets
{

/** Withdrawals kept; a target that leaves announces itself for minutes at most, and some hundred leave in a day. */
inline constexpr std::size_t MaxWithdrawals = 2048;

/**
 * A withdrawal binds one incarnation of a target, whatever that says afterwards. Equal ones that take equal words in
 * order stay equal. Not thread-safe.
 */
class Withdrawals
{
public:
    /** Takes the word of a target that is leaving or gone; as it then is to be known everywhere. */
    Target record(const Target &target);

    /** @p target as it may be known: leaving, where its incarnation was withdrawn. */
    Target applyTo(Target target) const;

    /** From the oldest on. */
    std::vector<Target> all() const;

private:
    std::map<core::TargetId, Target> m_latest;
    std::deque<core::TargetId> m_order;
};

} // namespace pimentoshed::targets
