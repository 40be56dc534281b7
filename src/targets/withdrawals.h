/**
 * @file
 * Targets that get no new requests any more, in the order of the replicated log.
 */
#pragma once

#include "targets/target.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace pimentoshed::targets
{

/**
 * Number of withdrawals kept. A target that is leaving continues to announce itself for minutes at most, and a few
 * hundred targets leave per day.
 */
inline constexpr std::size_t MaxWithdrawals = 2048;

/**
 * A withdrawal applies to one incarnation of a target, whatever that incarnation announces later. Deterministic: two
 * equal objects stay equal if the same targets are recorded in the same order. Not thread-safe.
 */
class Withdrawals
{
public:
    /** Records a target that is leaving or gone. Returns the record that all hosts are to store for it. */
    Target record(const Target &target);

    /** Returns @p target, marked as withdrawn and as leaving or gone if its incarnation was withdrawn. */
    Target applyTo(Target target) const;

    /** Returns the withdrawals kept, the oldest first. */
    std::vector<Target> all() const;

private:
    std::map<core::TargetId, Target> m_latest;
    std::deque<core::TargetId> m_order;
};

} // namespace pimentoshed::targets
